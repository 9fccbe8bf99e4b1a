package graderelay.core;

/** One slice of one job. */
public record SliceKey(String job, int index) {}
