#ifndef AUBURNYARD_UTIL_LOAD_DRIVER_LOAD_REPORT_H_
#define AUBURNYARD_UTIL_LOAD_DRIVER_LOAD_REPORT_H_

#include <vector>

#include <boost/json/object.hpp>

#include "util/load_driver/load_options.h"
#include "util/load_driver/load_sample.h"

namespace auburnyard::util {

/// Exact quantile by nearest rank; 0 if there are no values.
double Quantile(std::vector<double> values, double share);

/// Counts, latency quantiles and coverage of samples. Latency and coverage are
/// taken over answers; refusals are counted by kind. `in_time_share` is the
/// share of all requests that were answered within the deadline.
boost::json::object SummarizeSamples(const std::vector<LoadSample>& samples,
                                     std::chrono::milliseconds deadline);

/// Summary of a run, also by class.
boost::json::object ReportLoad(const LoadOptions& options,
                               const std::vector<LoadSample>& samples);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_LOAD_DRIVER_LOAD_REPORT_H_
