package graderelay.state;

import graderelay.wire.StoreCodec.StoreEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * All records under a prefix, read page by page.
 *
 * @param revision the store's revision at the first page; later pages may contain newer changes
 */
public record Listing(long revision, List<StoreEntry> records) {
  /** The keys of all records. */
  public List<String> keys() {
    return records.stream().map(StoreEntry::key).collect(Collectors.toCollection(ArrayList::new));
  }
}
