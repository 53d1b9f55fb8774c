#pragma once

#include "harness.h"

#include <string>
#include <vector>

/** Routes and requests that several tests of the gateway use. */
namespace lacewing::gateway_test
{

inline const std::string workspace = "w";
inline const std::string key = "k";

inline platform_standin::DesiredStateSpec makeState(int version, std::vector<platform_standin::RouteSpec> routes)
{
    return { version,
             std::move(routes),
             { { "plain" },
               { "other" },
               { "engine", platform_standin::ServiceKind::Engine },
               { "first", platform_standin::ServiceKind::Pieces },
               { "second", platform_standin::ServiceKind::Pieces } },
             workspace,
             key };
}

inline std::vector<platform_standin::RouteSpec> allRoutes()
{
    return {
        { .name = "safe", .service = "plain" },
        { .name = "unsafe", .kind = platform_standin::RouteKind::Unsafe, .service = "plain" },
        { .name = "stream", .kind = platform_standin::RouteKind::Stream, .service = "engine" },
        { .name = "resumable", .kind = platform_standin::RouteKind::Stream, .service = "engine", .isResumable = true },
        { .name = "staged",
          .kind = platform_standin::RouteKind::Stream,
          .service = "engine",
          .stages = { { "first", {} }, { "second", { 0 } } } },
        { .name = "again",
          .kind = platform_standin::RouteKind::Stream,
          .service = "engine",
          .isResumable = true,
          .stages = { { "first", {} }, { "second", { 0 } } } },
        { .name = "open", .service = "plain", .isPublic = true }
    };
}

inline net::Headers headers(const std::string &id)
{
    return platform_standin::requestHeaders({ .id = id, .apiKey = key });
}

inline net::Headers stagedHeaders(const std::string &id, std::vector<std::uint32_t> pieces)
{
    return platform_standin::requestHeaders({ .id = id, .apiKey = key, .pieceCounts = std::move(pieces) });
}

} // namespace lacewing::gateway_test
