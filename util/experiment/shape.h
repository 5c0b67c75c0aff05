#ifndef AUBURNYARD_UTIL_EXPERIMENT_SHAPE_H_
#define AUBURNYARD_UTIL_EXPERIMENT_SHAPE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

namespace auburnyard::util {

struct ShapeHost {
  std::string id;
  std::string domain;
  std::string region;
  std::string listen;
  std::string peer_listen;
};

struct ShapeTarget {
  std::string id;
  std::string domain;
  std::string address;
  std::uint32_t slots = 2;
  std::uint32_t connections = 25;
  std::uint32_t connection_cost_ms = 6;
  std::uint32_t cold_limit = 1;
};

/// A service; each shard lists the targets that hold it.
struct ShapeService {
  std::string name;
  std::vector<std::vector<std::string>> shards;
};

/// Hosts, targets and services of one workload at today's size.
struct Shape {
  std::string name;
  bool early_answer = true;
  std::uint64_t hedge_delay_ms = 80;
  std::map<std::string, std::string> domains;  ///< name to region
  std::vector<ShapeHost> hosts;
  std::vector<ShapeTarget> targets;
  std::vector<ShapeService> services;
};

/// Builds `booking` or `archive` on loopback ports from `base_port`. Throws
/// Error(kBadSettings).
Shape BuildShape(const std::string& name, std::uint16_t base_port);

/// Configuration document; `out` names the domain that is out of service.
boost::json::object MakeConfiguration(const Shape& shape,
                                      std::uint64_t revision,
                                      const std::string& out);
boost::json::object MakeCatalog(const ShapeService& service);
/// Targets file of target-standin.
boost::json::object MakeTargetsFile(const Shape& shape,
                                    double median_ms,
                                    std::uint64_t seed);

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_EXPERIMENT_SHAPE_H_
