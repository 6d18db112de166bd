/**
 * Reads and validates the configuration of the program and represents it as typed records.
 *
 * <p>The configuration of a node consists of two files. The JSON file of a platform is read into a
 * {@link rosecleat.config.NodeConfig}, and the broker file (YAML) into a {@link
 * rosecleat.config.BrokerConfig}; without a platform, {@link rosecleat.config.StandaloneConfig}
 * derives the node configuration from the broker file as well. Each file has a model (a record), a
 * reader, and a validator or JSON Schema. The broker file refers to the API descriptions and to the
 * routes file.
 *
 * <p>The package is stateless: readers run on the main thread at startup and on the reload thread
 * after SIGHUP, and the results are immutable. Every fault is reported as a {@link
 * rosecleat.config.ConfigException} whose {@link rosecleat.config.ConfigError} contains the file,
 * line and key as far as they are known. The package may depend on Jackson, the description and
 * schema libraries and {@code rosecleat.policy}; a node without a broker file must not load the
 * schema library.
 *
 * <p>Entry points: {@link rosecleat.config.NodeConfigReader} and {@link
 * rosecleat.config.BrokerConfigReader}.
 */
package rosecleat.config;
