package rosecleat.config;

import java.nio.file.Path;

/**
 * Where and how learned estimates are kept over restarts.
 *
 * @param folder the folder of the files
 * @param saveIntervalUs how often changes are written, in microseconds; by default 1 s
 * @param maxBytes the bound on the folder's size, by default 16 MiB
 * @param halfLifeUs the time in which a stored estimate loses half its weight, in microseconds; by
 *     default 10 minutes
 */
public record StateConfig(Path folder, long saveIntervalUs, long maxBytes, long halfLifeUs) {}
