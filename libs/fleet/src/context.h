#pragma once

#include <fleet/fleet.h>

#include <utility>
#include <vector>

namespace lacewing::fleet
{

/** What the parts of one Fleet share while it handles an event. */
struct Context {
    Settings settings;
    Random random;
    Time now;
    WallTime wall; ///< civil time at `now`
    Member self;
    std::vector<Effect> effects;
    std::vector<Fact> originated; ///< facts made here; the Fleet stores and spreads them
    Counters counters;

    const Timing &timing() const noexcept
    {
        return settings.timing;
    }
    /** This VM as the sender of a message. */
    Sender sender() const
    {
        return { self.vm, self.incarnation, self.epoch };
    }
    void send(const VmId &to, const std::string &address, PeerMessage message)
    {
        effects.emplace_back(Send { to, address, std::move(message) });
    }
    void send(const Member &to, PeerMessage message)
    {
        send(to.vm, to.address, std::move(message));
    }
    void originate(Fact fact)
    {
        originated.push_back(std::move(fact));
    }
};

/** Moves `count` random elements to the front and cuts the rest. */
template <typename T>
void keepRandom(std::vector<T> &items, std::size_t count, Random &random)
{
    const std::size_t kept = std::min(count, items.size());
    for (std::size_t index = 0; index < kept; ++index) {
        std::swap(items[index], items[index + random.below(items.size() - index)]);
    }
    items.resize(kept);
}

} // namespace lacewing::fleet
