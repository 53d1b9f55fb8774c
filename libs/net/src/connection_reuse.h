#pragma once

#include <net/net.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace lacewing::net
{

/** What is known of a connection at the end of a response. */
struct CompletedResponse {
    bool isKeptByServer = true; ///< the server hasn't said that it closes the connection
    bool endsWithConnection = false; ///< nothing but the end of the connection marks the end of the response
    bool hasExtraBytes = false; ///< bytes that follow the response have arrived
    bool isRequestWritten = true; ///< the whole request was sent before the response ended
    bool isIdentified = true; ///< the response certainly belongs to its call, or the client doesn't ask for that
    bool canCarryMore = true; ///< the connection can tell the next call from all that it has carried
    bool isYoung = true; ///< the connection is below its maximum age
};

/** Decides whether a connection is used again, whatever its call was for. @return why not; empty if it is */
std::optional<DiscardReason> whyNotReusable(const CompletedResponse &response);

/**
 * The ids of the calls that a connection has carried.
 *
 * A late copy of a response bears the id of its call, so an id identifies a response only as long as no other call with
 * the same id has been sent on the connection.
 */
class CarriedIds
{
public:
    /** Most ids that are kept; at 8 bytes each they take less memory than the buffers of the connection. */
    static constexpr std::size_t capacity = 1'024;

    void add(std::string_view id);
    /** Returns whether a call with this id was sent; may be true of another id, never false of one that was sent. */
    bool contains(std::string_view id) const noexcept;
    bool isFull() const noexcept
    {
        return hashes_.size() >= capacity;
    }

private:
    std::vector<std::uint64_t> hashes_;
};

} // namespace lacewing::net
