#include "src/net/metrics_registry.h"

#include <algorithm>
#include <cctype>
#include <cstdio>

#include "auburnyard/error.h"

namespace auburnyard {

namespace {

void CheckName(std::string_view name, bool colon) {
  const auto valid = [colon](unsigned char c) {
    return std::isalnum(c) != 0 || c == '_' || (colon && c == ':');
  };
  if (name.empty() || std::isdigit(static_cast<unsigned char>(name[0])) != 0 ||
      !std::all_of(name.begin(), name.end(), valid)) {
    throw Error(ErrorKind::kInternal,
                "\"" + std::string(name) + "\": not a valid metric name");
  }
}

// Backslash and line feed are escaped in label values and help texts, double
// quotes only in label values.
std::string Escape(std::string_view text, bool quotes) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\\') {
      escaped += "\\\\";
    } else if (c == '\n') {
      escaped += "\\n";
    } else if (c == '"' && quotes) {
      escaped += "\\\"";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string RenderLabels(const MetricLabels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    CheckName(name, /*colon=*/false);
    text += text.empty() ? "" : ",";
    text += name + "=\"" + Escape(value, /*quotes=*/true) + "\"";
  }
  return text;
}

std::string FormatGauge(double level) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.12g", level);
  return text;
}

void AppendSample(const std::string& name,
                  const std::string& labels,
                  const std::string& value,
                  std::string& out) {
  out += name;
  out += labels.empty() ? "" : "{" + labels + "}";
  out += " " + value + "\n";
}

template <typename Metric, typename Map>
Metric& FindOrAdd(Map& series, const std::string& labels) {
  auto& slot = series[labels];
  if (slot == nullptr) {
    slot = std::make_unique<Metric>();
  }
  return *slot;
}

}  // namespace

MetricCounter& MetricsRegistry::Counter(const std::string& name,
                                        const std::string& help,
                                        const MetricLabels& labels) {
  const std::string rendered = RenderLabels(labels);
  const std::scoped_lock lock(this->mutex);
  return FindOrAdd<MetricCounter>(
      this->FindOrAddFamily(name, help, Type::kCounter).counters, rendered);
}

MetricGauge& MetricsRegistry::Gauge(const std::string& name,
                                    const std::string& help,
                                    const MetricLabels& labels) {
  const std::string rendered = RenderLabels(labels);
  const std::scoped_lock lock(this->mutex);
  return FindOrAdd<MetricGauge>(
      this->FindOrAddFamily(name, help, Type::kGauge).gauges, rendered);
}

LatencyHistogram& MetricsRegistry::Histogram(const std::string& name,
                                             const std::string& help,
                                             const MetricLabels& labels) {
  const std::string rendered = RenderLabels(labels);
  const std::scoped_lock lock(this->mutex);
  return FindOrAdd<LatencyHistogram>(
      this->FindOrAddFamily(name, help, Type::kHistogram).histograms, rendered);
}

MetricsRegistry::Family& MetricsRegistry::FindOrAddFamily(
    const std::string& name,
    const std::string& help,
    Type type) {
  CheckName(name, /*colon=*/true);
  const auto [entry, added] = this->families.try_emplace(name);
  Family& family = entry->second;
  if (added) {
    family.type = type;
    family.help = help;
  } else if (family.type != type) {
    throw Error(ErrorKind::kInternal,
                name + ": the metric exists with another type");
  }
  return family;
}

std::string_view MetricsRegistry::TypeName(Type type) {
  switch (type) {
    case Type::kCounter:
      return "counter";
    case Type::kGauge:
      return "gauge";
    case Type::kHistogram:
      return "histogram";
  }
  return "untyped";
}

void MetricsRegistry::RenderFamily(const std::string& name,
                                   const Family& family,
                                   std::string& out) {
  out += "# HELP " + name + " " + Escape(family.help, /*quotes=*/false) + "\n";
  out += "# TYPE " + name + " " + std::string(TypeName(family.type)) + "\n";
  for (const auto& [labels, counter] : family.counters) {
    AppendSample(name, labels, std::to_string(counter->value()), out);
  }
  for (const auto& [labels, gauge] : family.gauges) {
    AppendSample(name, labels, FormatGauge(gauge->value()), out);
  }
  for (const auto& [labels, histogram] : family.histograms) {
    histogram->Render(name, labels, out);
  }
}

std::string MetricsRegistry::Render() const {
  std::string out;
  const std::scoped_lock lock(this->mutex);
  for (const auto& [name, family] : this->families) {
    RenderFamily(name, family, out);
  }
  return out;
}

}  // namespace auburnyard
