package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Reads all keys under a prefix, one page after the other. */
final class PagedRead {
  private final BiConsumer<String, Consumer<StoreResult>> readPage;
  private final Consumer<Listing> done;
  private final List<StoredRecord> records = new ArrayList<>();
  private long revision;

  /**
   * Makes the read, which begins with {@link #start}.
   *
   * @param readPage asks for the page after a key, or for the first page if it is null
   * @param done takes the listing, or null if a page could not be read
   */
  PagedRead(BiConsumer<String, Consumer<StoreResult>> readPage, Consumer<Listing> done) {
    this.readPage = readPage;
    this.done = done;
  }

  /** Asks for the first page. */
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
    JsonNode items = result.body().path("items");
    for (JsonNode item : items) {
      records.add(
          new StoredRecord(
              item.path("key").asText(), item.path("data"), item.path("mark").asLong()));
    }
    if (result.body().path("truncated").asBoolean(false) && items.size() > 0) {
      readPage.accept(records.get(records.size() - 1).key(), this::onPage);
    } else {
      done.accept(new Listing(revision, records));
    }
  }
}
