#include "fleet_state.h"

namespace lacewing::fleet
{

Fleet::Fleet(const Settings &settings, Time now)
    : state_(std::make_unique<State>(settings, now))
{
}

Fleet::~Fleet() = default;

std::vector<Effect> Fleet::handle(const Event &event, Time now)
{
    return state_->handle(event, now);
}

std::optional<Time> Fleet::nextWake() const
{
    return state_->nextWake();
}

std::shared_ptr<const View> Fleet::view() const
{
    return state_->view();
}

bool Fleet::isConfigReader() const
{
    return state_->readsConfig();
}

SuspicionState Fleet::suspicion(Fingerprint fingerprint) const
{
    return state_->quarantine().state(fingerprint);
}

bool Fleet::isCaughtUp() const
{
    return state_->isCaughtUp();
}

std::vector<ConfigFact> Fleet::configFacts() const
{
    return state_->store().configFacts();
}

ConfigVersion Fleet::configVersion(const config::ItemKey &key) const
{
    const Fact *held = state_->store().find(configKey(key));
    const auto *fact = held != nullptr ? std::get_if<ConfigFact>(held) : nullptr;
    return fact != nullptr ? fact->item.version : ConfigVersion();
}

std::optional<ConfigRejection> Fleet::rejection(const config::ChangeId &change) const
{
    const Fact *held = state_->store().find(rejectionKey(change));
    const auto *rejection = held != nullptr ? std::get_if<ConfigRejection>(held) : nullptr;
    return rejection != nullptr ? std::optional(*rejection) : std::nullopt;
}

std::uint64_t Fleet::digest() const
{
    return state_->store().digest();
}

VmId Fleet::arbiter(const PoolId &pool) const
{
    return state_->quarantine().arbiter(pool);
}

const Counters &Fleet::counters() const noexcept
{
    return state_->context().counters;
}

} // namespace lacewing::fleet
