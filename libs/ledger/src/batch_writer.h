#pragma once

#include "tags.h"

#include <wire/wire.h>

#include <deque>

namespace lacewing::ledger
{

/** A record that holds several entries; `number` grows by one for each of an incarnation. */
template <typename Entry>
struct Batch {
    VmId vm;
    Incarnation incarnation;
    std::uint64_t number = 0; ///< from 1
    std::uint64_t dropped = 0; ///< entries that this writer dropped up to now
    std::vector<Entry> entries;

    LACEWING_MEMBERS(vm, incarnation, number, dropped, entries)
};

/**
 * Appends entries to a stream in batches, one batch at a time. A batch is appended again, unchanged and under its
 * number, until it is known to be in the log, so that readers can count it once. Entries wait in bounded memory.
 */
template <typename Entry>
class BatchWriter
{
public:
    BatchWriter(Self self, Part part, std::string_view stream, const BatchOptions &options)
        : self_(std::move(self))
        , stream_(std::string(stream))
        , options_(options)
        , tags_(part)
    {
    }

    std::vector<log::Request> add(Entry entry, Time now)
    {
        if (entries_.empty() && current_.empty()) {
            nextBatch_ = latest(nextBatch_, now + options_.interval);
        }
        if (entries_.size() >= options_.maxPending) {
            entries_.pop_front();
            ++stats_.dropped;
        }
        entries_.push_back(std::move(entry));
        return tick(now);
    }

    std::vector<log::Request> handle(const log::Answer &answer, Time now)
    {
        const auto *append = std::get_if<log::AppendAnswer>(&answer);
        if (append == nullptr || !inFlight_ || inFlight_->tag != append->tag) {
            return {};
        }
        inFlight_.reset();
        if (append->outcome == log::AppendOutcome::Done) {
            stats_.written += currentSize_;
            current_.clear();
            currentSize_ = 0;
        } else {
            retryAt_ = now + options_.retryDelay;
        }
        return tick(now);
    }

    std::vector<log::Request> tick(Time now)
    {
        if (inFlight_ && now >= inFlight_->expiry) {
            inFlight_.reset(); // as if its outcome were unknown
        }
        if (inFlight_ || now < retryAt_) {
            return {};
        }
        const bool isDue = now >= nextBatch_ || entries_.size() >= options_.maxBatch;
        if (current_.empty() && (entries_.empty() || !isDue)) {
            return {};
        }
        if (current_.empty()) {
            makeBatch(now);
        }
        inFlight_ = InFlight { tags_.next(), now + options_.logTimeout };
        return { log::Append { inFlight_->tag, stream_, { current_ } } };
    }

    std::vector<log::Request> flush(Time now)
    {
        nextBatch_ = now;
        retryAt_ = now;
        return tick(now);
    }

    std::optional<Time> nextWake() const
    {
        if (inFlight_) {
            return inFlight_->expiry;
        }
        if (!current_.empty()) {
            return retryAt_;
        }
        if (entries_.empty()) {
            return std::nullopt;
        }
        return latest(nextBatch_, retryAt_);
    }

    BatchStats stats() const
    {
        BatchStats stats = stats_;
        stats.pending = entries_.size() + currentSize_;
        return stats;
    }

private:
    struct InFlight {
        log::RequestTag tag;
        Time expiry;
    };

    void makeBatch(Time now)
    {
        Batch<Entry> batch { self_.vm, self_.incarnation, ++number_, stats_.dropped, {} };
        while (!entries_.empty() && batch.entries.size() < options_.maxBatch) {
            batch.entries.push_back(std::move(entries_.front()));
            entries_.pop_front();
        }
        current_ = wire::encode(batch);
        currentSize_ = batch.entries.size();
        nextBatch_ = entries_.empty() ? now + options_.interval : now;
    }

    Self self_;
    log::StreamId stream_;
    BatchOptions options_;
    TagSource tags_;
    std::deque<Entry> entries_;
    std::string current_; ///< the batch that is being appended
    std::size_t currentSize_ = 0; ///< entries in it
    std::uint64_t number_ = 0;
    std::optional<InFlight> inFlight_;
    Time retryAt_ {};
    Time nextBatch_ {};
    BatchStats stats_;
};

} // namespace lacewing::ledger
