/**
 * Codecs for messages and stored records. Only this package uses the deployment's wire names. A
 * codec's {@code encodeX} and {@code decodeX} methods convert typed records to JSON trees (CBOR
 * between controllers) and back; every wire key is a constant in its codec. Names on the wire and
 * in the store never change, because other versions read and write them.
 *
 * <table>
 *   <caption>Wire names and terms</caption>
 *   <tr><th>wire name</th><th>term</th><th>codec</th></tr>
 *   <tr><td>mark</td><td>revision of a key</td><td>{@link graderelay.wire.StoreCodec}</td></tr>
 *   <tr><td>ledger</td><td>revision of the store</td><td>StoreCodec</td></tr>
 *   <tr><td>holds, permit</td><td>session lease and its id</td><td>StoreCodec</td></tr>
 *   <tr><td>life_ms</td><td>time to live of a session lease</td><td>StoreCodec</td></tr>
 *   <tr><td>news</td><td>changes in the response to a watch</td><td>StoreCodec</td></tr>
 *   <tr><td>multi, if, then</td><td>compare-and-swap transaction</td>
 *     <td>{@link graderelay.wire.TransactionCodec}</td></tr>
 *   <tr><td>g/owner</td><td>leader</td><td>{@link graderelay.wire.StateCodec}</td></tr>
 *   <tr><td>mesh</td><td>peer address of the leader</td><td>StateCodec</td></tr>
 *   <tr><td>g/term</td><td>reserved terms (fencing tokens): term is the last one, first the
 *     first</td><td>StateCodec</td></tr>
 *   <tr><td>g/bar/</td><td>suspension from election</td><td>StateCodec</td></tr>
 *   <tr><td>g/deputy/</td><td>release of a lease delegate's grants</td><td>StateCodec</td></tr>
 *   <tr><td>g/slice/</td><td>task batch</td><td>StateCodec</td></tr>
 *   <tr><td>g/end/</td><td>final state of a job</td><td>StateCodec</td></tr>
 *   <tr><td>needs, awaits</td><td>DAG dependencies of a job</td>
 *     <td>StateCodec, {@link graderelay.wire.UserCodec}</td></tr>
 *   <tr><td>g/term/feature/hold</td><td>pause of feature level changes</td>
 *     <td>{@link graderelay.wire.FeatureCodec}</td></tr>
 *   <tr><td>g/term/quota/</td><td>stored quotas and accounts</td>
 *     <td>{@link graderelay.wire.QuotaCodec}</td></tr>
 *   <tr><td>promise, keep</td><td>election pledge, leaderless pledge</td>
 *     <td>{@link graderelay.wire.PeerCodec}</td></tr>
 *   <tr><td>deputy</td><td>request to become a lease delegate</td><td>PeerCodec</td></tr>
 *   <tr><td>report</td><td>relayed heartbeat</td><td>PeerCodec</td></tr>
 *   <tr><td>hold</td><td>session lease of the leader</td><td>PeerCodec</td></tr>
 *   <tr><td>checkin</td><td>heartbeat</td><td>{@link graderelay.wire.WorkerCodec}</td></tr>
 *   <tr><td>foreman, foreman_at</td><td>term; controller to report to</td>
 *     <td>WorkerCodec</td></tr>
 *   <tr><td>shift, tally</td><td>incarnation, sequence number</td><td>WorkerCodec</td></tr>
 *   <tr><td>recall_s</td><td>interruption notice of a spot instance</td><td>WorkerCodec</td></tr>
 *   <tr><td>order, reap</td><td>worker command; command that removes an exited task attempt</td>
 *     <td>WorkerCodec</td></tr>
 *   <tr><td>wind_down_s</td><td>grace period of a kill</td><td>WorkerCodec</td></tr>
 *   <tr><td>saw, rig, yard</td><td>machine, machine type, zone</td>
 *     <td>WorkerCodec, {@link graderelay.wire.CloudCodec}</td></tr>
 *   <tr><td>board, pass</td><td>task, attempt</td><td>WorkerCodec</td></tr>
 *   <tr><td>borrowed</td><td>spot instance</td><td>WorkerCodec, CloudCodec, UserCodec</td></tr>
 *   <tr><td>hire, how_many</td><td>name and size of a scale-out request</td>
 *     <td>CloudCodec</td></tr>
 *   <tr><td>cards</td><td>GPUs</td><td>CloudCodec, UserCodec</td></tr>
 *   <tr><td>lot, crew, cut, urgency</td><td>job class, team, kind, priority</td>
 *     <td>UserCodec</td></tr>
 *   <tr><td>blade, pull_gb</td><td>image and its size</td><td>UserCodec</td></tr>
 *   <tr><td>apart</td><td>spread over zones</td><td>UserCodec</td></tr>
 *   <tr><td>stack_s, stack_write_s</td><td>checkpoint interval and time to write one</td>
 *     <td>UserCodec</td></tr>
 *   <tr><td>ship_s</td><td>deadline</td><td>UserCodec</td></tr>
 * </table>
 */
package graderelay.wire;
