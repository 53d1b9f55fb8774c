#pragma once

#include <base/base.h>

#include <algorithm>
#include <map>
#include <string>

namespace lacewing::standin
{

/** Gives out model weights at a limited rate, one model after the other. */
class WeightStore
{
public:
    WeightStore(double bytesPerSecond, std::map<std::string, std::uint64_t> models)
        : bytesPerSecond_(bytesPerSecond)
        , models_(std::move(models))
    {
    }

    /** Queues a fetch. @return when it will be complete; empty for an unknown model */
    std::optional<Time> fetch(const std::string &model, Time now)
    {
        const auto found = models_.find(model);
        if (found == models_.end()) {
            return std::nullopt;
        }
        ++fetches_;
        freeAt_ = std::max(freeAt_, now) + fromSeconds(static_cast<double>(found->second) / bytesPerSecond_);
        return freeAt_;
    }
    std::uint64_t fetches() const noexcept
    {
        return fetches_;
    }

private:
    double bytesPerSecond_;
    std::map<std::string, std::uint64_t> models_;
    Time freeAt_ {};
    std::uint64_t fetches_ = 0;
};

} // namespace lacewing::standin
