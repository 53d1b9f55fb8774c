#include <fleet/fleet.h>

namespace lacewing::fleet
{

std::string_view toText(MemberState state) noexcept
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Left:
        return "left";
    }
    return "unknown";
}

std::string_view toText(PermitRefusal refusal) noexcept
{
    switch (refusal) {
    case PermitRefusal::None:
        return "none";
    case PermitRefusal::Running:
        return "running";
    case PermitRefusal::EndpointTaken:
        return "endpoint-taken";
    case PermitRefusal::Quarantined:
        return "quarantined";
    case PermitRefusal::NotArbiter:
        return "not-arbiter";
    case PermitRefusal::NoAnswer:
        return "no-answer";
    }
    return "unknown";
}

std::string_view toText(SuspicionState state) noexcept
{
    switch (state) {
    case SuspicionState::Clear:
        return "clear";
    case SuspicionState::Suspect:
        return "suspect";
    case SuspicionState::Quarantined:
        return "quarantined";
    }
    return "unknown";
}

std::string_view toText(EndpointState state) noexcept
{
    switch (state) {
    case EndpointState::Live:
        return "live";
    case EndpointState::Leaving:
        return "leaving";
    case EndpointState::Dead:
        return "dead";
    }
    return "unknown";
}

} // namespace lacewing::fleet
