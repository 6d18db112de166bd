/**
 * The program's configuration: reading, validation and the typed results.
 *
 * <p>Two files make a node's configuration. A platform's JSON file becomes a {@link
 * rosecleat.config.NodeConfig}, and the broker file (YAML) a {@link rosecleat.config.BrokerConfig};
 * without a platform, {@link rosecleat.config.StandaloneConfig} takes both from the broker file.
 * For each file there is a model (a record), a reader, and a validator or JSON Schema. API
 * descriptions and the routes file are read through the broker file.
 *
 * <p>The package has no state: readers run on the main thread at the start and on the reload thread
 * after SIGHUP, and the results are immutable. Every fault is a {@link
 * rosecleat.config.ConfigException} whose {@link rosecleat.config.ConfigError} names file, line and
 * key. It may use Jackson, the description and schema libraries and {@code rosecleat.policy}; a
 * node without a broker file must not load the schema library.
 *
 * <p>Begin reading at {@link rosecleat.config.NodeConfigReader} and {@link
 * rosecleat.config.BrokerConfigReader}.
 */
package rosecleat.config;
