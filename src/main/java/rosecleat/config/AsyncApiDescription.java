package rosecleat.config;

import com.asyncapi.schemas.asyncapi.Reference;
import com.asyncapi.v3._0_0.model.AsyncAPI;
import com.asyncapi.v3._0_0.model.channel.Channel;
import com.asyncapi.v3._0_0.model.operation.Operation;
import com.asyncapi.v3._0_0.model.operation.OperationAction;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads the {@code receive} operations of an AsyncAPI 3.0 description. A caller sends a message to
 * such an operation with a POST request to the address of the operation's channel.
 */
final class AsyncApiDescription {
  private static final String METHOD = "POST";
  private static final String CHANNEL_REFERENCE = "#/channels/";

  private AsyncApiDescription() {}

  /**
   * Reads the {@code receive} operations of a description, in file order.
   *
   * @throws ConfigException if the file cannot be read or is not a valid description
   */
  static List<DescribedOperation> read(Path file) {
    AsyncAPI api = parse(file);
    String contentType =
        api.getDefaultContentType() == null
            ? DescribedOperation.DEFAULT_CONTENT_TYPE
            : api.getDefaultContentType();
    List<DescribedOperation> operations = new ArrayList<>();
    for (Map.Entry<String, Object> entry : api.getOperations().entrySet()) {
      if (entry.getValue() instanceof Operation operation
          && operation.getAction() == OperationAction.RECEIVE) {
        String address = address(api, operation.getChannel(), file);
        operations.add(
            new DescribedOperation(entry.getKey(), METHOD, address, contentType, new byte[0]));
      }
    }
    return operations;
  }

  private static AsyncAPI parse(Path file) {
    AsyncAPI api;
    try {
      api =
          new ObjectMapper(new YAMLFactory())
              .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
              .readValue(DescriptionFile.readText(file), AsyncAPI.class);
    } catch (IOException | RuntimeException e) {
      throw DescriptionFile.invalid(file, file + " is not a valid AsyncAPI 3.0 description");
    }
    if (api == null || api.getOperations() == null || api.getChannels() == null) {
      throw DescriptionFile.invalid(file, file + " must define both channels and operations");
    }
    return api;
  }

  /** Returns the address of the channel that an operation refers to, as an absolute path. */
  private static String address(AsyncAPI api, Reference reference, Path file) {
    String target = reference == null || reference.getRef() == null ? "" : reference.getRef();
    Object referred =
        target.startsWith(CHANNEL_REFERENCE)
            ? api.getChannels().get(target.substring(CHANNEL_REFERENCE.length()))
            : null;
    if (!(referred instanceof Channel channel) || channel.getAddress() == null) {
      throw DescriptionFile.invalid(
          file,
          file
              + ": an operation must refer to a channel with an address as #/channels/NAME, got \""
              + target
              + "\"");
    }
    return channel.getAddress().startsWith("/") ? channel.getAddress() : "/" + channel.getAddress();
  }
}
