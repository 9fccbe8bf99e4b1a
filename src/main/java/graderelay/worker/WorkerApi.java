package graderelay.worker;

import graderelay.core.Order;
import graderelay.core.Report;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.service.Constants;
import graderelay.state.Cache;
import graderelay.state.Ownership;
import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import graderelay.wire.WorkerCodec;
import java.util.List;
import java.util.function.Function;

/**
 * Takes workers' reports: answered by the owner while it holds the fleet, pointed there by others.
 */
public final class WorkerApi {
  private final Ownership ownership;
  private final Cache cache;
  private final Function<Report, List<Order>> fleet;

  public WorkerApi(Ownership ownership, Cache cache, Function<Report, List<Order>> fleet) {
    this.ownership = ownership;
    this.cache = cache;
    this.fleet = fleet;
  }

  public void checkin(Exchange e) {
    Report r = WorkerCodec.report(Json.read(e.body()));
    if (r == null) {
      e.to().accept(Answer.json(400, Json.error("not a report")));
      return;
    }
    List<Order> orders = ownership.entitled() ? fleet.apply(r) : null;
    if (orders == null) {
      StateCodec.Owner o = cache.owner();
      String at = ownership.owner() || o == null ? null : o.member();
      e.to().accept(Answer.json(421, Json.write(WorkerCodec.elsewhere(at))));
      return;
    }
    byte[] body = Json.write(WorkerCodec.response(ownership.term(), orders, Constants.MOST_ORDERS));
    e.to().accept(Answer.json(200, body));
  }
}
