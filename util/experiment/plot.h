#ifndef AUBURNYARD_UTIL_EXPERIMENT_PLOT_H_
#define AUBURNYARD_UTIL_EXPERIMENT_PLOT_H_

#include <chrono>
#include <string>
#include <vector>

#include "util/load_driver/load_sample.h"

namespace auburnyard::util {

/// Plots 99th percentile latency and mean coverage over time as SVG.
std::string PlotSamples(const std::string& title,
                        const std::vector<LoadSample>& samples,
                        std::chrono::milliseconds duration);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_EXPERIMENT_PLOT_H_
