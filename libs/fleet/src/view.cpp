#include <fleet/fleet.h>

#include <algorithm>

namespace lacewing::fleet
{

SuspicionState View::state(Fingerprint fingerprint) const noexcept
{
    const auto found = suspicions.find(fingerprint);
    return found != suspicions.end() ? found->second : SuspicionState::Clear;
}

const MemberView *View::memberByIncarnation(Incarnation incarnation) const noexcept
{
    const auto found = std::find_if(members.begin(), members.end(), [&](const MemberView &entry) {
        return entry.member.incarnation == incarnation;
    });
    if (found == members.end() || found->member.state >= MemberState::Dead) {
        return nullptr;
    }
    return &*found;
}

const EndpointView *View::endpoint(const EndpointId &id) const noexcept
{
    const auto found = std::lower_bound(
        endpoints.begin(), endpoints.end(), id, [](const EndpointView &entry, const EndpointId &wanted) {
            return entry.endpoint < wanted;
        });
    return found != endpoints.end() && found->endpoint == id ? &*found : nullptr;
}

} // namespace lacewing::fleet
