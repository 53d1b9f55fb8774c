#include "claim_writer.h"

#include <wire/wire.h>

#include <algorithm>

namespace lacewing::ledger
{

ClaimWriter::ClaimWriter(std::uint32_t partition, const ClaimsOptions &options)
    : stream_(claimStream(partition))
    , options_(options)
    , reader_(stream_, { options.readWait, options.logTimeout, options.retryDelay })
    , index_(options.window, options.skew)
{
}

void ClaimWriter::request(const ClaimRequest &request, Time now, ClaimOutput &output)
{
    lastUsed_ = now;
    if (hasReadAll_) {
        if (const auto first = index_.find(request.key)) {
            output.replies.push_back({ request.vm, ClaimReply { request.job, *first } });
            return;
        }
    }
    if (isWaiting(request)) {
        return;
    }
    if (!hasLog_ || waitingCount_ >= options_.maxWaiting) {
        output.replies.push_back({ request.vm, ClaimRefusal { request.job, ErrorKind::Unavailable } });
        return;
    }
    waiting_[request.key].push_back(request);
    ++waitingCount_;
    toAppend_.push_back(request);
}

bool ClaimWriter::handle(const log::Answer &answer, TagSource &tags, Time now, ClaimOutput &output)
{
    if (const auto *readAnswer = std::get_if<log::ReadAnswer>(&answer)) {
        if (!reader_.accept(*readAnswer, now)) {
            return false;
        }
        read(*readAnswer, now, output);
    } else {
        const auto &appendAnswer = std::get<log::AppendAnswer>(answer);
        if (!inFlight_ || inFlight_->tag != appendAnswer.tag) {
            return false;
        }
        finishAppend(appendAnswer, now, output);
    }
    tick(tags, now, output);
    return true;
}

void ClaimWriter::read(const log::ReadAnswer &answer, Time now, ClaimOutput &output)
{
    if (!answer.ok) {
        loseLog(now, output);
        return;
    }
    hasLog_ = true;
    std::vector<KeyDigest> settled;
    for (const log::Record &record : answer.records) {
        ++counters_.recordsRead;
        const auto claim = wire::decode<ClaimRequest>(record.data);
        if (!claim) {
            ++counters_.malformed;
        } else if (index_.add(claim.value(), record.appendedAt)) {
            settled.push_back(claim.value().key);
        }
    }
    const bool isFirstTime = reader_.isAtEnd() && !hasReadAll_;
    hasReadAll_ = hasReadAll_ || reader_.isAtEnd();
    if (isFirstTime) {
        settled.clear();
        for (const auto &[key, requests] : waiting_) {
            settled.push_back(key);
        }
    }
    if (hasReadAll_) {
        for (const KeyDigest &key : settled) {
            if (const auto first = index_.find(key)) {
                reply(*first, output);
            }
        }
        refuseInvalid(output);
    }
    if (reader_.isAtEnd() && reader_.lastReadSent() >= unsureSince_) {
        appendAgain();
    }
    if (waiting_.empty()) {
        reader_.pauseUntil(now + batchInterval_);
    }
}

void ClaimWriter::reply(const ClaimRequest &first, ClaimOutput &output)
{
    const auto found = waiting_.find(first.key);
    if (found == waiting_.end()) {
        return;
    }
    for (const ClaimRequest &request : found->second) {
        output.replies.push_back({ request.vm, ClaimReply { request.job, first } });
    }
    waitingCount_ -= found->second.size();
    waiting_.erase(found);
}

/** Refuses requests whose record stands in the part of the log that was read, and was not valid. */
void ClaimWriter::refuseInvalid(ClaimOutput &output)
{
    while (!appended_.empty() && appended_.front().offset < reader_.position()) {
        refuse(appended_.front().key, appended_.front().job, ErrorKind::Expired, output);
        appended_.pop_front();
    }
}

void ClaimWriter::refuse(const KeyDigest &key, const JobId &job, ErrorKind kind, ClaimOutput &output)
{
    const auto found = waiting_.find(key);
    if (found == waiting_.end()) {
        return;
    }
    std::vector<ClaimRequest> &requests = found->second;
    const auto place = std::ranges::find(requests, job, &ClaimRequest::job);
    if (place == requests.end()) {
        return;
    }
    output.replies.push_back({ place->vm, ClaimRefusal { job, kind } });
    requests.erase(place);
    --waitingCount_;
    if (requests.empty()) {
        waiting_.erase(found);
    }
}

void ClaimWriter::finishAppend(const log::AppendAnswer &answer, Time now, ClaimOutput &output)
{
    std::vector<ClaimRequest> batch = std::move(inFlight_->batch);
    inFlight_.reset();
    switch (answer.outcome) {
    case log::AppendOutcome::Done:
        for (std::size_t i = 0; i < std::min(batch.size(), answer.offsets.size()); ++i) {
            appended_.push_back({ answer.offsets[i], batch[i].key, batch[i].job });
        }
        counters_.recordsAppended += batch.size();
        reader_.resume(now);
        if (hasReadAll_) {
            refuseInvalid(output);
        }
        break;
    case log::AppendOutcome::NotDone:
        loseLog(now, output);
        break;
    case log::AppendOutcome::Unknown:
        unsure_.insert(unsure_.end(), batch.begin(), batch.end());
        unsureSince_ = now;
        reader_.resume(now);
        break;
    }
}

/** Queues again what was not found in the log after its append had no answer. */
void ClaimWriter::appendAgain()
{
    for (ClaimRequest &request : unsure_) {
        if (isWaiting(request)) {
            toAppend_.push_back(std::move(request));
        }
    }
    unsure_.clear();
}

/** Refuses all that wait, so that they try elsewhere. */
void ClaimWriter::loseLog(Time now, ClaimOutput &output)
{
    hasLog_ = false;
    nextAppend_ = latest(nextAppend_, now + options_.retryDelay);
    for (const auto &[key, requests] : waiting_) {
        for (const ClaimRequest &request : requests) {
            output.replies.push_back({ request.vm, ClaimRefusal { request.job, ErrorKind::Unavailable } });
        }
    }
    waiting_.clear();
    waitingCount_ = 0;
    toAppend_.clear();
    unsure_.clear();
    appended_.clear();
}

void ClaimWriter::tick(TagSource &tags, Time now, ClaimOutput &output)
{
    if (reader_.expire(now)) {
        loseLog(now, output);
    }
    if (inFlight_ && now >= inFlight_->expiry) {
        finishAppend({ inFlight_->tag, stream_, log::AppendOutcome::Unknown, {} }, now, output);
    }
    startAppend(tags, now, output);
    if (auto request = reader_.poll(tags, now)) {
        output.requests.push_back(std::move(*request));
    }
}

void ClaimWriter::startAppend(TagSource &tags, Time now, ClaimOutput &output)
{
    if (inFlight_ || !hasReadAll_ || !hasLog_ || now < nextAppend_) {
        return;
    }
    std::vector<ClaimRequest> batch;
    std::vector<std::string> records;
    while (!toAppend_.empty() && batch.size() < log::maxRecordsPerAppend) {
        if (isWaiting(toAppend_.front())) {
            records.push_back(wire::encode(toAppend_.front()));
            batch.push_back(std::move(toAppend_.front()));
        }
        toAppend_.pop_front();
    }
    if (batch.empty()) {
        return;
    }
    inFlight_ = InFlight { tags.next(), now + options_.logTimeout, std::move(batch) };
    nextAppend_ = now + batchInterval_;
    ++counters_.appends;
    output.requests.push_back(log::Append { inFlight_->tag, stream_, std::move(records) });
}

bool ClaimWriter::isWaiting(const ClaimRequest &request) const
{
    const auto found = waiting_.find(request.key);
    if (found == waiting_.end()) {
        return false;
    }
    return std::ranges::find(found->second, request.job, &ClaimRequest::job) != found->second.end();
}

Time ClaimWriter::nextWake() const
{
    Time wake = reader_.nextWake();
    if (inFlight_) {
        return std::min(wake, inFlight_->expiry);
    }
    const bool canAppend = !toAppend_.empty() && hasReadAll_ && hasLog_;
    return canAppend ? std::min(wake, nextAppend_) : wake;
}

void ClaimWriter::addTo(Claims::Stats &stats) const
{
    stats.appends += counters_.appends;
    stats.recordsAppended += counters_.recordsAppended;
    stats.recordsRead += counters_.recordsRead;
    stats.malformed += counters_.malformed;
    stats.remembered += index_.size();
    ++stats.partitionsRead;
}

} // namespace lacewing::ledger
