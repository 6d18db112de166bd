package rosecleat.core;

/** An error as a value: how far the attempt had come, and why it went no further. */
public record Fault(Progress progress, String why) {}
