#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace lacewing::standin
{

/** Counts how often each content was run by a stage that doesn't generate, over all endpoints. */
class Executions
{
public:
    void add(const std::string &stage, const std::string &content)
    {
        constexpr std::size_t maxContents = 500'000;
        if (counts_.size() < maxContents) {
            ++counts_[{ stage, content.substr(0, maxContentBytes) }];
        }
    }
    void clear()
    {
        counts_.clear();
    }
    /** Counts by stage target and the content's first maxContentBytes. */
    const std::map<std::pair<std::string, std::string>, std::uint64_t> &counts() const noexcept
    {
        return counts_;
    }

    static constexpr std::size_t maxContentBytes = 1024;

private:
    std::map<std::pair<std::string, std::string>, std::uint64_t> counts_;
};

} // namespace lacewing::standin
