#include "fleet_state.h"

#include <algorithm>

/** The part of FleetState that knows the software versions of endpoints. */
namespace lacewing::gateway
{

/** Takes over versions that have served before this VM started. */
void FleetState::applySoftwareVersions(std::string_view service, const std::string &value)
{
    const routing::ServiceId id { std::string(service) };
    auto &stored = storedVersions_[id];
    stored.clear();
    for (std::string_view rest = value; !rest.empty();) {
        const auto end = std::min(rest.find('\n'), rest.size());
        const std::string version(rest.substr(0, end));
        stored.insert(version.empty() ? std::nullopt : std::optional(routing::SoftwareVersion(version)));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    if (!areVmsLoaded_) {
        for (const auto &version : stored) {
            endpoints_.addEndedVersion(id, version, context_.now());
        }
    }
}

/**
 * Stores the versions of engines, so that VMs that start later know of those that have ended. A version that is the
 * only one is stored as well: another may take its place while no VM lives.
 */
void FleetState::storeSoftwareVersions()
{
    if (!isLoaded() || !areVmsLoaded_ || !isViewCurrent()) {
        return;
    }
    storedVersionsRevision_ = endpoints_.revision();
    if (!links_.isResponsible("software versions", 1)) {
        return;
    }
    for (const auto &service : routes_->state().services) {
        const auto &versions = endpoints_.versions(service->id);
        auto &stored = storedVersions_[service->id];
        if (!service->engine || versions.empty() || versions == stored) {
            continue;
        }
        stored = versions;
        std::string value;
        for (const auto &version : versions) {
            value += (version ? version->text() : std::string()) + "\n"; // an empty line is an unknown version
        }
        context_.logger.state("software versions stored",
                              { { "service", service->id }, { "versions", versions.size() } });
        store_.put(std::string(softwareVersionsKeyPrefix) + service->id.text(), value);
    }
}

/** Returns whether the endpoint registrations that this VM knows are those of the store, but for some ms. */
bool FleetState::isViewCurrent() const
{
    const auto found = replicas_.find(userplatform::Topic::Endpoints);
    const bool isStoreLost = found == replicas_.end() || found->second.isStoreLost;
    return endpointsLoaded_ && (readsStore_ ? !isStoreLost : hasActiveReader());
}

std::optional<routing::SoftwareVersion> FleetState::soleVersion(const routing::ServiceId &service) const
{
    return areVmsLoaded_ && isViewCurrent() ? endpoints_.soleVersion(service) : std::nullopt;
}

} // namespace lacewing::gateway
