#include "spreader.h"

#include <algorithm>

#include <set>

namespace lacewing::fleet
{
namespace
{

/** Most facts in one message. */
constexpr std::size_t maxFactsPerMessage = 64;
/** Most groups that one comparison goes into; the rest is left to the next one. */
constexpr std::size_t maxBucketsPerRepair = 16;
/** Shortest time between two comparisons that one VM starts. */
constexpr Duration repairInterval = 200ms;
/** Facts of one part of the state that is sent to a starting VM. */
constexpr std::size_t factsPerStatePart = 128;
/** VMs of the zone that get a fact which its source refreshes; one that misses it gets the next. */
constexpr std::uint32_t passingPushes = 3;
/** VMs of the zone that hear of a new fact from one VM. */
constexpr std::uint32_t spreadDegree = 8;
/** Of these, so many get the fact itself from its source; each hop takes one off, the rest get its name. */
constexpr std::uint32_t sourcePushes = 4;

} // namespace

Spreader::Spreader(Context &context, const Members &members, FactStore &store)
    : context_(context)
    , members_(members)
    , store_(store)
{
}

Fanout Spreader::fanout(std::uint32_t hop) const
{
    if (context_.settings.fanout) {
        return context_.settings.fanout(hop);
    }
    // The switch from push to pull by hops is from C. Kiraly, "PPPT: Fighting the GossipSub Overhead with Push-Pull
    // Phase Transition", 2025: far from the source most pushes would be copies.
    const std::uint32_t push = sourcePushes - std::min(hop, sourcePushes);
    return { push, spreadDegree - push };
}

void Spreader::spread(const std::vector<Fact> &facts, const Origin &origin)
{
    std::vector<Fact> lasting;
    std::vector<Fact> passing;
    for (const Fact &fact : facts) {
        (isLasting(fact) ? lasting : passing).push_back(fact);
    }
    spreadInZone(lasting, origin, fanout(origin.hop));
    spreadInZone(passing, origin, { passingPushes, 0 });
    if (!origin.abroad) {
        spreadAbroad(facts);
    }
}

void Spreader::spreadInZone(const std::vector<Fact> &facts, const Origin &origin, const Fanout &fanout)
{
    if (facts.empty()) {
        return;
    }
    std::vector<const Member *> peers = members_.zonePeers();
    std::erase_if(peers, [&](const Member *peer) { return peer->vm == origin.from; });
    keepRandom(peers, fanout.push + fanout.announce, context_.random);
    FactNames names { context_.sender(), origin.hop + 1, origin.abroad, {}, {} };
    for (const Fact &fact : facts) {
        names.names.push_back({ keyOf(fact), stampOf(fact) });
    }
    for (std::size_t index = 0; index < peers.size(); ++index) {
        if (index < fanout.push) {
            sendFacts(*peers[index], facts, origin.hop + 1, origin.abroad);
        } else {
            context_.send(*peers[index], names);
        }
    }
}

bool Spreader::isBridge(const AvailabilityZoneId &zone) const
{
    return members_.isChosen("bridge/" + zone.text(), context_.settings.bridges);
}

void Spreader::spreadAbroad(const std::vector<Fact> &facts)
{
    std::vector<Fact> crossing;
    std::copy_if(facts.begin(), facts.end(), std::back_inserter(crossing), crossesZones);
    if (crossing.empty()) {
        return;
    }
    for (const auto &[zone, members] : members_.otherZones()) {
        if (isBridge(zone)) {
            sendFacts(*members[context_.random.below(members.size())], crossing, 0, true);
        }
    }
}

void Spreader::sendFacts(const Member &to, const std::vector<Fact> &facts, std::uint32_t hop, bool abroad)
{
    for (std::size_t first = 0; first < facts.size(); first += maxFactsPerMessage) {
        const std::size_t end = std::min(facts.size(), first + maxFactsPerMessage);
        FactPush push { context_.sender(), hop, abroad, {} };
        push.facts.assign(facts.begin() + static_cast<std::ptrdiff_t>(first),
                          facts.begin() + static_cast<std::ptrdiff_t>(end));
        context_.send(to, std::move(push));
    }
}

bool Spreader::isAbroad(const Member &member) const
{
    return member.zone != context_.settings.zone;
}

void Spreader::onDigest(const VmId &peer, std::uint64_t digest)
{
    const Member *member = members_.find(peer);
    if (member == nullptr || digest == store_.digest() || context_.now < nextRepair_) {
        return;
    }
    nextRepair_ = context_.now + repairInterval;
    ++context_.counters.repairs;
    const auto &buckets = store_.buckets();
    context_.send(*member, BucketDigest { context_.sender(), { buckets.begin(), buckets.end() } });
}

void Spreader::onBucketDigest(const BucketDigest &message)
{
    const Member *member = members_.find(message.from.vm);
    if (member == nullptr || message.buckets.size() != digestBuckets) {
        return;
    }
    FactNames names { context_.sender(), 0, isAbroad(*member), {}, {} };
    const std::size_t start = context_.random.below(digestBuckets);
    for (std::size_t step = 0; step < digestBuckets && names.buckets.size() < maxBucketsPerRepair; ++step) {
        const std::size_t bucket = (start + step) % digestBuckets;
        if (message.buckets[bucket] == store_.buckets()[bucket]) {
            continue;
        }
        names.buckets.push_back(static_cast<std::uint32_t>(bucket));
        const auto listed = store_.namesIn(bucket);
        names.names.insert(names.names.end(), listed.begin(), listed.end());
    }
    if (!names.buckets.empty()) {
        context_.send(*member, std::move(names));
    }
}

void Spreader::onFactNames(const FactNames &message)
{
    const Member *member = members_.find(message.from.vm);
    if (member == nullptr) {
        return;
    }
    FactRequest request { context_.sender(), message.hop, message.abroad, {} };
    std::set<FactName> equal;
    for (const FactName &name : message.names) {
        const Fact *held = store_.find(name.key);
        if (held != nullptr && stampOf(*held) == name.stamp) {
            equal.insert(name);
        } else {
            request.keys.push_back(name.key);
        }
    }
    std::vector<Fact> missing;
    for (const std::uint32_t bucket : message.buckets) {
        for (const FactName &name : store_.namesIn(bucket)) {
            if (!equal.contains(name)) {
                missing.push_back(*store_.find(name.key));
            }
        }
    }
    if (!request.keys.empty()) {
        context_.send(*member, std::move(request));
    }
    sendFacts(*member, missing, 0, isAbroad(*member));
}

void Spreader::onFactRequest(const FactRequest &message)
{
    const Member *member = members_.find(message.from.vm);
    if (member == nullptr) {
        return;
    }
    std::vector<Fact> facts;
    for (const FactKey key : message.keys) {
        if (const Fact *held = store_.find(key)) {
            facts.push_back(*held);
        }
    }
    sendFacts(*member, facts, message.hop, message.abroad);
}

void Spreader::onStateRequest(const StateRequest &message, bool complete)
{
    const Member *member = members_.find(message.from.vm);
    if (member == nullptr) {
        return;
    }
    StatePart part {
        context_.sender(), message.after, false, complete, store_.after(message.after, factsPerStatePart)
    };
    part.last = part.facts.empty() || !store_.hasAfter(keyOf(part.facts.back()));
    context_.send(*member, std::move(part));
}

} // namespace lacewing::fleet
