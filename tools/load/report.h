#pragma once

#include "live_job.h"

#include <map>
#include <string>
#include <vector>

namespace lacewing::load
{

/** Counts and times of one class, or of all. */
struct ClassSummary {
    std::size_t offered = 0;
    std::map<LiveOutcome, std::size_t> outcomes;
    std::map<std::string, std::size_t> problems; ///< by type
    std::vector<Duration> latencies; ///< of whole answers, ascending
    std::map<std::string, std::int64_t> costByStage; ///< in millionths of the currency unit
    std::int64_t cost = 0; ///< sum over all stages

    /** Met part of the offered jobs; 1 when there were none. */
    double attainment() const;
    std::size_t count(LiveOutcome outcome) const;
};

/** Value that a share of all values does not exceed (nearest rank); 0 when there are none. @param share in (0, 1] */
Duration percentile(const std::vector<Duration> &ascending, double share);

/** One summary for each class, and one named "all". */
std::map<std::string, ClassSummary> summarize(const std::vector<LiveResult> &results);

/** The summaries as a table for people. */
std::string toTable(const std::map<std::string, ClassSummary> &summaries);
/** Compares times through the daemons with direct ones, over jobs that were answered on both ways. */
std::string compareWithDirect(const std::vector<LiveResult> &results, const std::vector<LiveResult> &direct);
/** One line for each job, with a head line. */
std::string toCsv(const std::vector<LiveResult> &results);
/** A plot of the distribution of times by class, with a line for each. */
std::string toSvg(const std::map<std::string, ClassSummary> &summaries);

} // namespace lacewing::load
