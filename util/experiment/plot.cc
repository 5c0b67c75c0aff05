#include "util/experiment/plot.h"

#include <algorithm>
#include <sstream>

#include "util/load_driver/load_report.h"

namespace auburnyard::util {

namespace {

constexpr std::size_t kBins = 60;
constexpr double kWidth = 720;
constexpr double kPanel = 160;
constexpr double kMargin = 50;

struct Bin {
  std::vector<double> latencies;
  double coverage = 0;
  std::size_t requests = 0;
};

std::vector<Bin> Collect(const std::vector<LoadSample>& samples,
                         std::chrono::milliseconds duration) {
  std::vector<Bin> bins(kBins);
  for (const LoadSample& sample : samples) {
    const double position =
        ToMilliseconds(sample.offset) / static_cast<double>(duration.count());
    Bin& bin =
        bins[std::min(kBins - 1, static_cast<std::size_t>(position * kBins))];
    ++bin.requests;
    if (sample.refusal.empty()) {
      bin.latencies.push_back(ToMilliseconds(sample.latency));
      bin.coverage += sample.coverage;
    }
  }
  return bins;
}

std::string Line(const std::vector<double>& values, double top, double peak) {
  std::ostringstream points;
  for (std::size_t i = 0; i < values.size(); ++i) {
    points << kMargin + kWidth * static_cast<double>(i) / kBins << ','
           << top + kPanel * (1 - values[i] / peak) << ' ';
  }
  return "<polyline fill='none' stroke='black' points='" + points.str() +
         "'/>\n";
}

std::string Label(double top, const std::string& text) {
  std::ostringstream label;
  label << "<text x='" << kMargin << "' y='" << top - 6
        << "' font-size='12' font-family='sans-serif'>" << text << "</text>\n"
        << "<rect x='" << kMargin << "' y='" << top << "' width='" << kWidth
        << "' height='" << kPanel << "' fill='none' stroke='grey'/>\n";
  return label.str();
}

}  // namespace

std::string PlotSamples(const std::string& title,
                        const std::vector<LoadSample>& samples,
                        std::chrono::milliseconds duration) {
  std::vector<double> latency;
  std::vector<double> coverage;
  for (const Bin& bin : Collect(samples, duration)) {
    latency.push_back(Quantile(bin.latencies, 0.99));
    coverage.push_back(bin.requests == 0
                           ? 0
                           : bin.coverage / static_cast<double>(bin.requests));
  }
  const double peak =
      std::max(1.0, *std::max_element(latency.begin(), latency.end()));
  const double second = 2 * kMargin + kPanel;
  std::ostringstream svg;
  svg << "<svg xmlns='http://www.w3.org/2000/svg' width='"
      << kWidth + 2 * kMargin << "' height='" << 3 * kMargin + 2 * kPanel
      << "'>\n"
      << Label(kMargin, title + ": p99 latency, 0 to " +
                            std::to_string(static_cast<int>(peak)) + " ms, " +
                            std::to_string(duration.count() / 1000) + " s")
      << Line(latency, kMargin, peak)
      << Label(second, "mean coverage, 0 to 1; a refusal counts as 0")
      << Line(coverage, second, 1.0) << "</svg>\n";
  return svg.str();
}

}  // namespace auburnyard::util
