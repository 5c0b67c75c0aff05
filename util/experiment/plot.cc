#include "util/experiment/plot.h"

#include <algorithm>
#include <sstream>

#include "util/load_driver/load_report.h"

namespace auburnyard::util {

namespace {

constexpr std::size_t kBinCount = 60;
constexpr double kPanelWidth = 720;
constexpr double kPanelHeight = 160;
constexpr double kMargin = 50;

struct Bin {
  std::vector<double> latencies;
  double coverage = 0;
  std::size_t requests = 0;
};

std::vector<Bin> BinSamples(const std::vector<LoadSample>& samples,
                            std::chrono::milliseconds duration) {
  std::vector<Bin> bins(kBinCount);
  for (const LoadSample& sample : samples) {
    const double position =
        ToMilliseconds(sample.offset) / static_cast<double>(duration.count());
    Bin& bin = bins[std::min(kBinCount - 1,
                             static_cast<std::size_t>(position * kBinCount))];
    ++bin.requests;
    if (sample.refusal.empty()) {
      bin.latencies.push_back(ToMilliseconds(sample.latency));
      bin.coverage += sample.coverage;
    }
  }
  return bins;
}

std::string Polyline(const std::vector<double>& values,
                     double top,
                     double max_value) {
  std::ostringstream points;
  for (std::size_t i = 0; i < values.size(); ++i) {
    points << kMargin + kPanelWidth * static_cast<double>(i) / kBinCount << ','
           << top + kPanelHeight * (1 - values[i] / max_value) << ' ';
  }
  return "<polyline fill='none' stroke='black' points='" + points.str() +
         "'/>\n";
}

std::string PanelFrame(double top, const std::string& text) {
  std::ostringstream label;
  label << "<text x='" << kMargin << "' y='" << top - 6
        << "' font-size='12' font-family='sans-serif'>" << text << "</text>\n"
        << "<rect x='" << kMargin << "' y='" << top << "' width='"
        << kPanelWidth << "' height='" << kPanelHeight
        << "' fill='none' stroke='grey'/>\n";
  return label.str();
}

}  // namespace

std::string PlotSamples(const std::string& title,
                        const std::vector<LoadSample>& samples,
                        std::chrono::milliseconds duration) {
  std::vector<double> latency;
  std::vector<double> coverage;
  for (const Bin& bin : BinSamples(samples, duration)) {
    latency.push_back(Quantile(bin.latencies, 0.99));
    coverage.push_back(bin.requests == 0
                           ? 0
                           : bin.coverage / static_cast<double>(bin.requests));
  }
  const double max_value =
      std::max(1.0, *std::max_element(latency.begin(), latency.end()));
  const double second_top = 2 * kMargin + kPanelHeight;
  std::ostringstream svg;
  svg << "<svg xmlns='http://www.w3.org/2000/svg' width='"
      << kPanelWidth + 2 * kMargin << "' height='"
      << 3 * kMargin + 2 * kPanelHeight << "'>\n"
      << PanelFrame(kMargin, title + ": p99 latency, 0 to " +
                                 std::to_string(static_cast<int>(max_value)) +
                                 " ms, " +
                                 std::to_string(duration.count() / 1000) + " s")
      << Polyline(latency, kMargin, max_value)
      << PanelFrame(second_top, "mean coverage, 0 to 1; a refusal counts as 0")
      << Polyline(coverage, second_top, 1.0) << "</svg>\n";
  return svg.str();
}

}  // namespace auburnyard::util
