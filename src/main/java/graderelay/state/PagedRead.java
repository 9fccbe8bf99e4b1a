package graderelay.state;

import graderelay.wire.StoreCodec;
import graderelay.wire.StoreCodec.RangeResponse;
import graderelay.wire.StoreCodec.StoreEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Reads all records under a prefix, one page after the other. */
final class PagedRead {
  private final BiConsumer<String, Consumer<StoreResult>> readPage;
  private final Consumer<Listing> done;
  private final List<StoreEntry> records = new ArrayList<>();
  private long revision;

  /**
   * Creates a read, which begins with {@link #start}.
   *
   * @param readPage requests the page after a key, or the first page if the key is null
   * @param done receives the listing, or null if a page could not be read
   */
  PagedRead(BiConsumer<String, Consumer<StoreResult>> readPage, Consumer<Listing> done) {
    this.readPage = readPage;
    this.done = done;
  }

  /** Requests the first page. */
  void start() {
    readPage.accept(
        null,
        result -> {
          revision = result.revision();
          onPage(result);
        });
  }

  private void onPage(StoreResult result) {
    if (!result.succeeded()) {
      done.accept(null);
      return;
    }
    RangeResponse page = StoreCodec.decodeRange(result.body());
    records.addAll(page.entries());
    String nextAfter = page.nextPageAfter();
    if (nextAfter == null) {
      done.accept(new Listing(revision, records));
    } else {
      readPage.accept(nextAfter, this::onPage);
    }
  }
}
