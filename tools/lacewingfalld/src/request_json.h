#pragma once

#include <core/core.h>
#include <net/net.h>

namespace lacewing::daemon
{

/** A job as read from an HTTP request. */
struct ParsedJob {
    core::CallerRequest job;
    bool stream = false;
};

/**
 * Reads the body and headers of POST /v1/jobs. Fails with Malformed (not JSON), Missing, WrongType, OutOfRange or
 * UnknownKey; the detail names the field.
 */
Result<ParsedJob> parseJob(const net::HttpRequest &request);

/** Reads the workspace named in a body of the form {"workspace": "..."}. Fails as parseJob(). */
Result<WorkspaceId> parseWorkspace(std::string_view body);

/** SHA-256 of a text, in lower-case hexadecimal. */
std::string sha256Hex(std::string_view text);

/** Compares two texts in a time that doesn't depend on where they differ. */
bool equalsInConstantTime(std::string_view left, std::string_view right) noexcept;

} // namespace lacewing::daemon
