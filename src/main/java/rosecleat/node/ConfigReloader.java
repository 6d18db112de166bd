package rosecleat.node;

import java.lang.reflect.Proxy;
import java.util.function.Consumer;
import java.util.function.Supplier;
import rosecleat.config.ConfigException;
import rosecleat.log.Log;

/**
 * SIGHUP: the configuration is read anew and checked whole, and takes effect or changes nothing.
 * Without a handler the virtual machine ends on this signal.
 */
final class ConfigReloader {
  private final Supplier<ProcessConfig> reader;
  private final Log log;
  private ProcessConfig inForce;
  private Consumer<ProcessConfig> taker;
  private boolean early;

  /** Reloads by a reader that throws {@link ConfigException} for a file that can't be used. */
  ConfigReloader(ProcessConfig inForce, Supplier<ProcessConfig> reader, Log log) {
    this.inForce = inForce;
    this.reader = reader;
    this.log = log;
  }

  /**
   * Takes the signal from now on; one that comes before {@link #tell} is made up for there. The one
   * way to a handler for signals is a class of the module jdk.unsupported; it is called by its name
   * because the compiler warns of every plain use, and here warnings are errors.
   */
  void install() {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object taking =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, args) -> {
                reload(); // its only method is handle(Signal); nobody compares or prints a handler
                return null;
              });
      Object before =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), taking);
      if (before
          == handler
              .getField("SIG_IGN")
              .get(null)) { // the virtual machine leaves it so: nohup's children never hear it
        log.warn(
            "SIGHUP is ignored, as whoever started this process left it: it can't be told to"
                + " reload");
      }
    } catch (ReflectiveOperationException e) {
      log.warn("SIGHUP is not handled here: " + e);
    }
  }

  /** Names who is told of a new configuration. */
  synchronized void tell(Consumer<ProcessConfig> to) {
    taker = to;
    if (early) {
      reload();
    }
  }

  /**
   * Reads the file again, on the signal's own thread and one signal after the other, so that the
   * last file read is the one in force. A file that can't be used changes nothing.
   */
  synchronized void reload() {
    if (taker == null) {
      early = true;
      return;
    }
    ProcessConfig fresh;
    try {
      fresh = reader.get();
      fresh.checkAfter(inForce);
    } catch (ConfigException e) {
      log.warn("told to reload, but the old configuration stays: " + e.getMessage());
      return;
    }
    inForce = fresh;
    taker.accept(fresh);
  }
}
