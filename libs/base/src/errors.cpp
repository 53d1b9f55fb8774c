#include <base/base.h>

namespace lacewing
{

std::string_view toText(ErrorKind kind) noexcept
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
        return "invalid-argument";
    case ErrorKind::UnknownKey:
        return "unknown-key";
    case ErrorKind::WrongType:
        return "wrong-type";
    case ErrorKind::OutOfRange:
        return "out-of-range";
    case ErrorKind::Missing:
        return "missing";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::NotFound:
        return "not-found";
    case ErrorKind::Malformed:
        return "malformed";
    case ErrorKind::TooLarge:
        return "too-large";
    case ErrorKind::TooMany:
        return "too-many";
    case ErrorKind::AddressInUse:
        return "address-in-use";
    case ErrorKind::Unreachable:
        return "unreachable";
    case ErrorKind::ConnectionLost:
        return "connection-lost";
    case ErrorKind::Silent:
        return "silent";
    case ErrorKind::Timeout:
        return "timeout";
    case ErrorKind::Cancelled:
        return "cancelled";
    case ErrorKind::Refused:
        return "refused";
    case ErrorKind::Unauthorized:
        return "unauthorized";
    case ErrorKind::Expired:
        return "expired";
    case ErrorKind::Fenced:
        return "fenced";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::Io:
        return "io";
    }
    return "unlisted";
}

std::string_view toText(Ran ran) noexcept
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Unknown:
        return "unknown";
    case Ran::Yes:
        return "yes";
    }
    return "unknown";
}

} // namespace lacewing
