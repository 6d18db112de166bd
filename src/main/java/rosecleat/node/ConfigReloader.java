package rosecleat.node;

import java.lang.reflect.Proxy;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import rosecleat.config.ConfigException;
import rosecleat.log.Log;

/**
 * Reads the configuration again on SIGHUP. It is checked as a whole, and then takes effect or
 * changes nothing. Without a handler the virtual machine would end on this signal.
 */
final class ConfigReloader {
  private final Supplier<ProcessConfig> reader;
  private final Log log;
  private ProcessConfig inForce;
  private Optional<Consumer<ProcessConfig>> listener = Optional.empty();
  private boolean signalledEarly;

  /** Reloads by a reader that throws {@link ConfigException} for files that cannot be used. */
  ConfigReloader(ProcessConfig inForce, Supplier<ProcessConfig> reader, Log log) {
    this.inForce = inForce;
    this.reader = reader;
    this.log = log;
  }

  /**
   * Handles the signal from now on; one that arrives before {@link #setListener} is made up for
   * there. Only a class of the module jdk.unsupported can handle signals. It is called by its name,
   * since the compiler warns of every plain use, and warnings are errors here.
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
                reload(); // the only method is handle(Signal); nobody compares or prints a handler
                return null;
              });
      Object previous =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), reloading);
      // a signal that is ignored from the start, as under nohup, stays ignored
      if (previous == handler.getField("SIG_IGN").get(null)) {
        log.warn(
            "SIGHUP is ignored, as whoever started this process left it: it can't be told to"
                + " reload");
      }
    } catch (ReflectiveOperationException e) {
      log.warn("SIGHUP is not handled here: " + e);
    }
  }

  /** Sets who takes a changed configuration. */
  synchronized void setListener(Consumer<ProcessConfig> consumer) {
    listener = Optional.of(consumer);
    if (signalledEarly) {
      reload();
    }
  }

  /**
   * Reads the files again. This runs on the thread of the signal, one signal after the other, so
   * that the files read last are in force.
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
      log.warn("told to reload, but the old configuration stays: " + e.getMessage());
      return;
    }
    inForce = fresh;
    listener.get().accept(fresh);
  }
}
