#include "identity.h"

#include <charconv>

namespace lacewing::peer
{

namespace
{

constexpr const char *vmHeader = "lacewing-vm";
constexpr const char *zoneHeader = "lacewing-zone";
constexpr const char *incarnationHeader = "lacewing-incarnation";
constexpr int hexadecimal = 16;

Result<Incarnation> parseIncarnation(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number, hexadecimal);
    if (status != std::errc() || end != text.data() + text.size() || number == 0) {
        return failure(ErrorKind::Malformed, "not an incarnation");
    }
    return Incarnation(number);
}

std::string toHexadecimal(Incarnation incarnation)
{
    std::array<char, 2 * sizeof(std::uint64_t)> digits {};
    const auto result = std::to_chars(digits.begin(), digits.end(), incarnation.value(), hexadecimal);
    return { digits.data(), result.ptr };
}

} // namespace

net::Headers identityHeaders(const PeerIdentity &identity)
{
    return { { vmHeader, net::percentEncode(identity.vm.text()) },
             { zoneHeader, net::percentEncode(identity.zone.text()) },
             { incarnationHeader, toHexadecimal(identity.incarnation) } };
}

Result<PeerIdentity> parseIdentity(const net::Headers &headers)
{
    const auto vm = net::findHeader(headers, vmHeader);
    const auto zone = net::findHeader(headers, zoneHeader);
    const auto incarnation = net::findHeader(headers, incarnationHeader);
    if (!vm || vm->empty() || !zone || !incarnation) {
        return failure(ErrorKind::Malformed, "no identity");
    }
    const auto number = parseIncarnation(*incarnation);
    if (!number) {
        return boost::outcome_v2::failure(number.error());
    }
    return PeerIdentity { VmId(net::percentDecode(*vm)),
                          AvailabilityZoneId(net::percentDecode(*zone)),
                          number.value() };
}

} // namespace lacewing::peer
