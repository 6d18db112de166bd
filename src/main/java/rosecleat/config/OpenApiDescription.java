package rosecleat.config;

import io.swagger.v3.oas.models.OpenAPI;
import io.swagger.v3.oas.models.Operation;
import io.swagger.v3.oas.models.PathItem;
import io.swagger.v3.oas.models.media.MediaType;
import io.swagger.v3.oas.models.responses.ApiResponse;
import io.swagger.v3.parser.OpenAPIV3Parser;
import io.swagger.v3.parser.core.models.ParseOptions;
import io.swagger.v3.parser.core.models.SwaggerParseResult;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Reads the operations of an OpenAPI 3.x description with swagger-parser. */
final class OpenApiDescription {
  private static final String SUCCESS_STATUS = "200";

  private final OpenAPI api;
  private final String basePath;
  private final List<DescribedOperation> operations = new ArrayList<>();

  private OpenApiDescription(OpenAPI api) {
    this.api = api;
    basePath = basePath(api);
  }

  /**
   * Reads the operations of a description that have an operationId, in file order.
   *
   * @throws ConfigException if the file cannot be read or is not a valid description
   */
  static List<DescribedOperation> read(Path file) {
    OpenApiDescription description = new OpenApiDescription(parse(file));
    description.api.getPaths().forEach(description::addPath);
    return description.operations;
  }

  private static OpenAPI parse(Path file) {
    ParseOptions options = new ParseOptions();
    options.setResolve(false); // reading a description must not fetch files or URLs
    SwaggerParseResult result =
        new OpenAPIV3Parser().readContents(DescriptionFile.readText(file), null, options);
    OpenAPI api = result.getOpenAPI();
    if (api == null || api.getPaths() == null || !result.getMessages().isEmpty()) {
      String detail = result.getMessages().isEmpty() ? "" : ": " + result.getMessages().get(0);
      throw DescriptionFile.invalid(file, file + " is not a valid OpenAPI 3 description" + detail);
    }
    return api;
  }

  /** Returns the path of the first server URL without trailing slashes. */
  private static String basePath(OpenAPI api) {
    if (api.getServers() == null || api.getServers().isEmpty()) {
      return "";
    }
    try {
      String path = URI.create(api.getServers().get(0).getUrl()).getPath();
      return path == null ? "" : path.replaceAll("/+$", "");
    } catch (IllegalArgumentException e) {
      throw ConfigException.invalid(
          "server URL " + api.getServers().get(0).getUrl() + " in an OpenAPI description",
          "is not a valid URI");
    }
  }

  private void addPath(String path, PathItem item) {
    item.readOperationsMap()
        .forEach(
            (method, operation) -> {
              if (operation.getOperationId() != null) {
                operations.add(operation(path, method, operation));
              }
            });
  }

  private DescribedOperation operation(
      String path, PathItem.HttpMethod method, Operation operation) {
    Optional<Map.Entry<String, MediaType>> content = successContent(operation);
    return new DescribedOperation(
        operation.getOperationId(),
        method.name().toUpperCase(Locale.ROOT),
        basePath + path,
        content.map(Map.Entry::getKey).orElse(DescribedOperation.DEFAULT_CONTENT_TYPE),
        content
            .map(entry -> ExampleBody.of(entry.getValue(), api.getComponents()))
            .orElse(new byte[0]));
  }

  /** Returns the first media type of the response with status 200. */
  private static Optional<Map.Entry<String, MediaType>> successContent(Operation operation) {
    ApiResponse response =
        operation.getResponses() == null ? null : operation.getResponses().get(SUCCESS_STATUS);
    if (response == null || response.getContent() == null) {
      return Optional.empty();
    }
    return response.getContent().entrySet().stream().findFirst();
  }
}
