package rosecleat.config;

import com.asyncapi.schemas.asyncapi.Reference;
import com.asyncapi.v3._0_0.model.AsyncAPI;
import com.asyncapi.v3._0_0.model.channel.Channel;
import com.asyncapi.v3._0_0.model.operation.OperationAction;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.swagger.v3.oas.models.OpenAPI;
import io.swagger.v3.oas.models.Operation;
import io.swagger.v3.parser.OpenAPIV3Parser;
import io.swagger.v3.parser.core.models.ParseOptions;
import io.swagger.v3.parser.core.models.SwaggerParseResult;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Reads what OpenAPI and AsyncAPI descriptions say of operations. The parsing is the libraries'.
 */
final class Descriptions {
  /**
   * An operation as described: its name, how it is asked for, what its answer is made of, and one
   * that it allows.
   */
  record Described(String id, String method, String path, String contentType, byte[] sample) {}

  private static final String BYTES = "application/octet-stream";

  private Descriptions() {}

  /** The operations of an OpenAPI description (3.x): those that have an operationId. */
  static List<Described> openApi(Path file) {
    ParseOptions options = new ParseOptions();
    options.setResolve(false); // a description must not make this program fetch anything
    SwaggerParseResult result = new OpenAPIV3Parser().readContents(read(file), null, options);
    OpenAPI api = result.getOpenAPI();
    if (api == null || api.getPaths() == null || !result.getMessages().isEmpty()) {
      throw new ConfigException(
          "no usable OpenAPI description in "
              + file
              + (result.getMessages().isEmpty() ? "" : ": " + result.getMessages().get(0)));
    }
    String base = base(api);
    List<Described> found = new ArrayList<>();
    api.getPaths()
        .forEach(
            (path, item) ->
                item.readOperationsMap()
                    .forEach(
                        (method, operation) -> {
                          if (operation.getOperationId() != null) {
                            found.add(
                                new Described(
                                    operation.getOperationId(),
                                    method.name().toUpperCase(Locale.ROOT),
                                    base + path,
                                    contentType(operation),
                                    sample(operation, api)));
                          }
                        }));
    return found;
  }

  private static String base(OpenAPI api) {
    if (api.getServers() == null || api.getServers().isEmpty()) {
      return "";
    }
    try {
      String path = URI.create(api.getServers().get(0).getUrl()).getPath();
      return path == null ? "" : path.replaceAll("/+$", "");
    } catch (IllegalArgumentException e) {
      throw new ConfigException("a server's URL in an OpenAPI description can't be read");
    }
  }

  private static String contentType(Operation operation) {
    var answer = operation.getResponses() == null ? null : operation.getResponses().get("200");
    return answer == null || answer.getContent() == null || answer.getContent().isEmpty()
        ? BYTES
        : answer.getContent().keySet().iterator().next();
  }

  private static byte[] sample(Operation operation, OpenAPI api) {
    var answer = operation.getResponses() == null ? null : operation.getResponses().get("200");
    return answer == null || answer.getContent() == null || answer.getContent().isEmpty()
        ? new byte[0]
        : Samples.of(answer.getContent().values().iterator().next(), api.getComponents());
  }

  /**
   * The operations of an AsyncAPI description (3.0) by which the described application receives
   * messages: a message is sent by a POST to the address of its channel.
   */
  static List<Described> asyncApi(Path file) {
    AsyncAPI api;
    try {
      api =
          new ObjectMapper(new YAMLFactory())
              .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
              .readValue(read(file), AsyncAPI.class);
    } catch (IOException | RuntimeException e) {
      throw new ConfigException("no usable AsyncAPI description in " + file);
    }
    if (api == null || api.getOperations() == null || api.getChannels() == null) {
      throw new ConfigException("no channels and operations in " + file);
    }
    String type = api.getDefaultContentType() == null ? BYTES : api.getDefaultContentType();
    List<Described> found = new ArrayList<>();
    for (Map.Entry<String, Object> entry : api.getOperations().entrySet()) {
      if (entry.getValue() instanceof com.asyncapi.v3._0_0.model.operation.Operation operation
          && operation.getAction() == OperationAction.RECEIVE) {
        found.add(
            new Described(
                entry.getKey(),
                "POST",
                address(api, operation.getChannel(), file),
                type,
                new byte[0]));
      }
    }
    return found;
  }

  private static String address(AsyncAPI api, Reference to, Path file) {
    String ref = to == null || to.getRef() == null ? "" : to.getRef();
    String start = "#/channels/";
    Object channel =
        ref.startsWith(start) ? api.getChannels().get(ref.substring(start.length())) : null;
    if (!(channel instanceof Channel found) || found.getAddress() == null) {
      throw new ConfigException("an operation in " + file + " names no channel with an address");
    }
    return found.getAddress().startsWith("/") ? found.getAddress() : "/" + found.getAddress();
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new ConfigException("cannot read the description " + file);
    }
  }
}
