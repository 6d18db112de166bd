package rosecleat.node;

import java.lang.reflect.Proxy;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import rosecleat.config.ConfigException;
import rosecleat.log.Log;

/**
 * Reloads the configuration on SIGHUP. A new configuration is validated as a whole and then either
 * applied completely or rejected. The handler must be installed because the JVM terminates on
 * SIGHUP by default.
 */
final class ConfigReloader {
  private final Supplier<ProcessConfig> reader;
  private final Log log;
  private ProcessConfig inForce;
  private Optional<Consumer<ProcessConfig>> listener = Optional.empty();
  private boolean signalledEarly;

  /**
   * Creates a reloader.
   *
   * @param inForce the configuration in force
   * @param reader reads the configuration; throws {@link ConfigException} if its files are invalid
   * @param log receives the reason why a configuration is rejected
   */
  ConfigReloader(ProcessConfig inForce, Supplier<ProcessConfig> reader, Log log) {
    this.inForce = inForce;
    this.reader = reader;
    this.log = log;
  }

  /**
   * Installs the signal handler. A signal that arrives before {@link #setListener} is handled
   * there.
   *
   * <p>Only a class of the module jdk.unsupported can handle signals. It is accessed by reflection,
   * since the compiler warns of every direct use and warnings are errors in this build.
   */
  void install() {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object reloading =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, args) -> {
                reload(); // the only method is handle(Signal); equals and toString are never called
                return null;
              });
      Object previous =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), reloading);
      // A signal that is ignored when the process starts, as under nohup, stays ignored.
      if (previous == handler.getField("SIG_IGN").get(null)) {
        log.warn(
            "configuration reload by signal is not available: SIGHUP was set to ignored when this"
                + " process started");
      }
    } catch (ReflectiveOperationException e) {
      log.warn("could not install the handler of SIGHUP: " + e);
    }
  }

  /** Sets the consumer of changed configurations, and reloads if a signal has already arrived. */
  synchronized void setListener(Consumer<ProcessConfig> consumer) {
    listener = Optional.of(consumer);
    if (signalledEarly) {
      reload();
    }
  }

  /**
   * Reads, checks and applies the configuration files. Runs on the signal handler's thread, one
   * signal at a time, so that the files that were read last are in force.
   */
  synchronized void reload() {
    if (listener.isEmpty()) {
      signalledEarly = true;
      return;
    }
    ProcessConfig fresh;
    try {
      fresh = reader.get();
      fresh.requireAdoptableAfter(inForce);
    } catch (ConfigException e) {
      log.warn("configuration not reloaded, previous one stays in force: " + e.getMessage());
      return;
    }
    inForce = fresh;
    listener.get().accept(fresh);
  }
}
