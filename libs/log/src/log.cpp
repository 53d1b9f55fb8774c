#include <log/log.h>

namespace lacewing::log
{

LogOffset nextOffset(const ReadAnswer &answer) noexcept
{
    return answer.records.empty() ? answer.next : answer.records.back().offset.next();
}

} // namespace lacewing::log
