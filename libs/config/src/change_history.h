#pragma once

#include <config/config.h>

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace lacewing::config
{

/** The latest results of changes, by their ids; bounded in number. */
class ChangeHistory
{
public:
    explicit ChangeHistory(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /** Remembers a result. A later result under the same id never hides that a change was accepted. */
    void add(const ChangeResult &result)
    {
        const auto [place, isNew] = byId_.try_emplace(result.id, result);
        if (isNew) {
            order_.push_back(result.id);
        } else if (place->second.rejected) {
            place->second = result;
        }
        if (order_.size() > capacity_) {
            byId_.erase(order_.front());
            order_.pop_front();
        }
    }

    void add(const std::vector<ChangeResult> &results)
    {
        for (const ChangeResult &result : results) {
            add(result);
        }
    }

    std::optional<ChangeResult> find(const ChangeId &id) const
    {
        const auto found = byId_.find(id);
        return found == byId_.end() ? std::nullopt : std::optional(found->second);
    }

    /** Results judged after a version, oldest first. */
    std::vector<ChangeResult> since(ConfigVersion after) const
    {
        std::vector<ChangeResult> results;
        for (const ChangeId &id : order_) {
            const ChangeResult &result = byId_.at(id);
            if (result.version > after) {
                results.push_back(result);
            }
        }
        return results;
    }

    /** The last `count` results, oldest first. */
    std::vector<ChangeResult> latest(std::size_t count) const
    {
        std::vector<ChangeResult> results;
        const std::size_t first = order_.size() - std::min(count, order_.size());
        for (std::size_t i = first; i < order_.size(); ++i) {
            results.push_back(byId_.at(order_[i]));
        }
        return results;
    }

private:
    std::size_t capacity_;
    std::deque<ChangeId> order_;
    std::unordered_map<ChangeId, ChangeResult> byId_;
};

} // namespace lacewing::config
