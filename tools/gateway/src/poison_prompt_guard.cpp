#include "poison_prompt_guard.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

using dispatch::PromptPartId;

/** Longest delay of a message that refutes crashes: all VMs may have a success to report at the same time. */
constexpr Duration maxRefutationDelay = 100ms;
/** Number of such messages from other VMs that make one from this VM needless, as some are lost. */
constexpr int sufficientRefutations = 3;
/** Number of VMs that are asked for successes before a part is quarantined that has succeeded recently. */
constexpr std::size_t inquiryCount = 6;
/** Bounds on messages. Crashes are repeated, so that the loss of a message matters little. */
constexpr std::size_t maxCrashesPerMessage = 4;
constexpr std::size_t maxPartsPerMessage = 64;
constexpr std::size_t maxMessagesPerBroadcast = 8;
/** Parts of one crash that have a line of the log each. */
constexpr std::size_t maxLoggedParts = 16;

std::string storeName(PromptPartId part)
{
    return std::string(PoisonPromptGuard::storePrefix) + std::to_string(part.value());
}

std::int64_t ageMs(Time now, Time time)
{
    return std::max<std::int64_t>(toMilliseconds(now - time), 0);
}

Time timeOf(std::int64_t ageMs, Time now)
{
    return now - std::chrono::milliseconds(std::max<std::int64_t>(ageMs, 0));
}

} // namespace

PoisonPromptGuard::PoisonPromptGuard(
    Context &context, FleetLinks &links, FleetState &state, std::uint64_t seed, std::function<void()> onQuarantined)
    : context_(context)
    , links_(links)
    , state_(state)
    , random_(seed)
    , onQuarantined_(std::move(onQuarantined))
    , crashCounter_(context.metrics.counter(
          { "prompt_part_crashes", "Crashes of endpoints that ran requests of this VM with shared prompt parts" }))
    , quarantineCounter_(context.metrics.counter(
          { "quarantined_prompt_parts", "Prompt parts that became quarantined, as known to this VM" }))
    , trialCounter_(context.metrics.counter(
          { "prompt_part_trials", "Requests with a quarantined prompt part that this VM has sent as a trial" }))
{
}

PoisonPromptGuard::Permission PoisonPromptGuard::checkSend(std::span<const PromptPartId> parts)
{
    update();
    const auto part = tracker_.findQuarantined(parts);
    if (!part) {
        return Permission::Granted;
    }
    if (tracker_.isTrialDue(*part, context_.now()) && isResponsibleFor(*part)) {
        const auto trial = tracker_.recordTrial(*part, context_.now());
        trialCounter_.add();
        context_.logger.state("prompt part trial", { { "part", part->value() }, { "trial", trial } });
        broadcast({ *part });
        return Permission::Trial;
    }
    tracker_.recordRejection(*part, context_.now());
    return Permission::Denied;
}

bool PoisonPromptGuard::isQuarantined(std::span<const PromptPartId> parts) const
{
    return tracker_.findQuarantined(parts).has_value();
}

bool PoisonPromptGuard::isExplained(const routing::EndpointLifetime &endpoint) const
{
    return tracker_.isExplained(endpoint);
}

void PoisonPromptGuard::onAnswered(const routing::EndpointLifetime &endpoint,
                                   std::vector<PromptPartId> parts,
                                   Time beganAt)
{
    tracker_.recordAnswer(endpoint, std::move(parts), beganAt, context_.now());
    scheduleUpdate();
}

void PoisonPromptGuard::onCrash(const routing::EndpointLifetime &endpoint,
                                std::span<const dispatch::LostRequest> requests)
{
    const auto parts = tracker_.recordCrash(endpoint, requests, context_.now());
    if (parts.empty()) {
        return;
    }
    crashCounter_.add();
    std::size_t logged = 0;
    for (const auto part : parts) {
        const auto *suspect = tracker_.find(part);
        if (suspect == nullptr || logged == maxLoggedParts) {
            continue;
        }
        ++logged;
        context_.logger.state("suspect prompt part",
                              { { "part", part.value() },
                                { "endpoint", endpoint.endpoint },
                                { "crashes", suspect->crashes.size() },
                                { "position", suspect->position },
                                { "longest_answer_ms", toMilliseconds(suspect->longestAnswer) },
                                { "has_succeeded", suspect->lastSuccessAt.has_value() } });
    }
    if (parts.size() > logged) {
        context_.logger.state("more suspect prompt parts",
                              { { "endpoint", endpoint.endpoint },
                                { "requests", requests.size() },
                                { "parts", parts.size() },
                                { "logged", logged } });
    }
    broadcast(parts);
    update();
}

void PoisonPromptGuard::onRequestQuarantined(std::span<const routing::EndpointLifetime> endpoints)
{
    tracker_.recordRequestCrashes(endpoints, context_.now());
    update();
}

void PoisonPromptGuard::handleParts(const std::vector<SuspectPartMessage> &parts)
{
    for (const auto &part : parts) {
        handlePart(part);
    }
    update();
}

void PoisonPromptGuard::handlePart(const SuspectPartMessage &message)
{
    const Time now = context_.now();
    dispatch::SuspectPart part;
    part.part = PromptPartId(message.part);
    for (const auto &crash : message.crashes) {
        part.crashes.push_back({ { EndpointId(crash.endpoint), Incarnation(crash.incarnation) },
                                 timeOf(crash.ageMs, now),
                                 crash.hadAnswer });
    }
    if (message.hasSucceeded) {
        part.lastSuccessAt = timeOf(message.successAgeMs, now);
        const auto refutation = refutations_.find(part.part);
        if (refutation != refutations_.end() && ++refutation->second >= sufficientRefutations) {
            refutations_.erase(refutation);
        }
    }
    part.longestAnswer = std::chrono::milliseconds(std::max<std::int64_t>(message.longestAnswerMs, 0));
    part.position = message.position;
    part.trialCount = message.trialCount;
    part.lastTrialAt = timeOf(message.trialAgeMs, now);
    part.updatedAt = timeOf(message.ageMs, now);
    if (tracker_.merge(part, now)) {
        scheduleRefutation(part.part);
    }
}

void PoisonPromptGuard::handleStored(const std::string &bytes)
{
    const auto message = wire::decode<SuspectPartMessage>(bytes);
    if (!message) {
        context_.logger.warn("malformed quarantined prompt part", { { "error", message.error().detail } });
        return;
    }
    // The record says nothing of what has happened since it was written.
    const PromptPartId part(message.value().part);
    if (tracker_.find(part) == nullptr) {
        handleParts({ message.value() });
    }
}

void PoisonPromptGuard::restoreStored(const std::set<std::string> &stored)
{
    storedParts_.clear();
    std::set<std::string> inForce;
    for (const auto &suspect : tracker_.quarantinedParts()) {
        const std::string name = storeName(suspect.part);
        inForce.insert(name);
        if (stored.contains(name)) {
            storedParts_.insert(suspect.part);
        } else if (isResponsibleFor(suspect.part)) {
            store(suspect.part);
        }
    }
    for (const auto &name : stored) {
        const bool hasEnded = name.starts_with(storePrefix) && !inForce.contains(name);
        if (hasEnded && isResponsibleFor(name)) {
            state_.removeQuarantine(name);
        }
    }
}

std::vector<SuspectPartMessage> PoisonPromptGuard::quarantinedParts() const
{
    std::vector<SuspectPartMessage> messages;
    for (const auto &part : tracker_.quarantinedParts()) {
        messages.push_back(toMessage(part));
    }
    return messages;
}

void PoisonPromptGuard::expire(Time now)
{
    tracker_.expire(now);
    update();
}

/** Decides about all parts, and publishes what changes. */
void PoisonPromptGuard::update()
{
    const auto changes = tracker_.update(context_.now());
    for (const auto part : changes.refuted) {
        scheduleRefutation(part);
    }
    if (!changes.unconfirmed.empty()) {
        inquire(changes.unconfirmed);
    }
    for (const auto part : changes.quarantined) {
        quarantineCounter_.add();
        if (const auto *suspect = tracker_.find(part)) {
            context_.logger.state("prompt part quarantined",
                                  { { "part", part.value() },
                                    { "crashes", suspect->crashes.size() },
                                    { "position", suspect->position },
                                    { "longest_answer_ms", toMilliseconds(suspect->longestAnswer) } });
        }
        if (isResponsibleFor(part)) {
            store(part);
        }
    }
    for (const auto part : changes.released) {
        const auto *suspect = tracker_.find(part);
        context_.logger.state("prompt part released",
                              { { "part", part.value() },
                                { "crashes", suspect != nullptr ? suspect->crashes.size() : 0 },
                                { "has_succeeded", suspect != nullptr && suspect->lastSuccessAt.has_value() } });
        if (isResponsibleFor(part) || storedParts_.contains(part)) {
            storedParts_.erase(part);
            state_.removeQuarantine(storeName(part));
        }
    }
    if (!changes.quarantined.empty()) {
        context_.loop.post(onQuarantined_);
    }
    scheduleUpdate();
}

void PoisonPromptGuard::scheduleUpdate()
{
    const auto due = tracker_.nextUpdateAt();
    auto &timers = context_.loop.timers();
    if (!due || (updateTimer_ != TimerHandle() && updateDueAt_ <= *due)) {
        return;
    }
    timers.cancel(updateTimer_);
    updateDueAt_ = *due;
    updateTimer_ = timers.once(*due, [this](Time) {
        updateTimer_ = TimerHandle();
        update();
    });
}

/** Sends what is known about parts to some VMs, which send the successes that they know of to all. */
void PoisonPromptGuard::inquire(const std::vector<PromptPartId> &parts)
{
    const std::string message = encode(std::span(parts).first(std::min(parts.size(), maxPartsPerMessage)));
    const auto members = links_.members(std::nullopt);
    for (std::size_t inquiry = 0; inquiry < inquiryCount && !members.empty(); ++inquiry) {
        links_.send(members[random_.below(members.size())], message);
    }
}

void PoisonPromptGuard::broadcast(const std::vector<PromptPartId> &parts)
{
    std::span<const PromptPartId> rest(parts);
    for (std::size_t message = 0; message < maxMessagesPerBroadcast && !rest.empty(); ++message) {
        const std::size_t count = std::min(rest.size(), maxPartsPerMessage);
        links_.broadcast(encode(rest.first(count)));
        rest = rest.subspan(count);
    }
}

std::string PoisonPromptGuard::encode(std::span<const PromptPartId> parts) const
{
    SuspectPartsMessage message;
    for (const auto part : parts) {
        if (const auto *suspect = tracker_.find(part)) {
            message.parts.push_back(toMessage(*suspect));
        }
    }
    return encodeMessage(MessageKind::SuspectParts, message);
}

/** Sends a success known here to all VMs, unless enough others do so within a random delay. */
void PoisonPromptGuard::scheduleRefutation(PromptPartId part)
{
    const bool isScheduled = !refutations_.empty();
    refutations_.try_emplace(part, 0);
    if (!isScheduled) {
        const auto delay = std::chrono::duration_cast<Duration>(maxRefutationDelay * random_.unit());
        context_.loop.timers().once(context_.now() + delay, [this](Time) { broadcastRefutations(); });
    }
}

void PoisonPromptGuard::broadcastRefutations()
{
    if (!refutations_.empty()) {
        std::vector<PromptPartId> parts;
        for (const auto &[part, reports] : std::exchange(refutations_, {})) {
            parts.push_back(part);
        }
        broadcast(parts);
    }
}

void PoisonPromptGuard::store(PromptPartId part)
{
    if (const auto *suspect = tracker_.find(part)) {
        storedParts_.insert(part);
        state_.storeQuarantine(storeName(part), wire::encode(toMessage(*suspect)));
    }
}

/** Returns whether this VM acts on a part on behalf of all: writes it to the store, and sends trials. */
bool PoisonPromptGuard::isResponsibleFor(PromptPartId part) const
{
    return isResponsibleFor(storeName(part));
}

/** @param name of a part's record in the store */
bool PoisonPromptGuard::isResponsibleFor(const std::string &name) const
{
    return links_.isResponsible("quarantine/" + name, 1);
}

SuspectPartMessage PoisonPromptGuard::toMessage(const dispatch::SuspectPart &part) const
{
    const Time now = context_.now();
    auto crashes = part.crashes;
    std::sort(crashes.begin(), crashes.end(), [](const auto &a, const auto &b) { return a.at > b.at; });
    crashes.resize(std::min(crashes.size(), maxCrashesPerMessage));
    SuspectPartMessage message;
    message.part = part.part.value();
    for (const auto &crash : crashes) {
        message.crashes.push_back({ crash.endpoint.endpoint.text(),
                                    crash.endpoint.incarnation.value(),
                                    ageMs(now, crash.at),
                                    crash.hadAnswer });
    }
    message.hasSucceeded = part.lastSuccessAt.has_value();
    message.successAgeMs = part.lastSuccessAt ? ageMs(now, *part.lastSuccessAt) : 0;
    message.longestAnswerMs = toMilliseconds(part.longestAnswer);
    message.position = part.position;
    message.trialCount = part.trialCount;
    message.trialAgeMs = part.lastTrialAt ? ageMs(now, *part.lastTrialAt) : 0;
    message.ageMs = ageMs(now, part.updatedAt);
    return message;
}

} // namespace lacewing::gateway
