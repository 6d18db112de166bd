package rosecleat.config;

import java.nio.file.Path;

/**
 * The settings of the store that persists learned estimates across restarts.
 *
 * @param folder the folder that contains the files
 * @param saveIntervalUs the interval between writes of changes, in microseconds; default 1 s
 * @param maxBytes the maximum size of the folder; default 16 MiB
 * @param halfLifeUs the time in which a stored estimate loses half its weight, in microseconds;
 *     default 10 minutes
 */
public record StateConfig(Path folder, long saveIntervalUs, long maxBytes, long halfLifeUs) {}
