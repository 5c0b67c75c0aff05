#ifndef AUBURNYARD_TEST_CONFIGURATION_FIXTURE_H_
#define AUBURNYARD_TEST_CONFIGURATION_FIXTURE_H_

#include <cstdint>
#include <string>

#include "auburnyard/configuration.h"

namespace auburnyard::test {

/// Two domains with two targets each, one service "seats".
inline Configuration SmallConfiguration(std::uint64_t revision,
                                        const std::string& nonce) {
  Configuration configuration;
  configuration.revision = revision;
  configuration.nonce = nonce;
  configuration.domains = {{"north", {}}, {"south", {}}};
  for (const std::string domain : {"north", "south"}) {
    for (const std::string number : {"1", "2"}) {
      TargetConfig target;
      target.id = domain + number;
      target.host = "127.0.0.1";
      target.port = 9000;
      target.domain = domain;
      target.slots = 2;
      target.connections = 2;
      configuration.targets.emplace(target.id, target);
    }
  }
  configuration.services.emplace("seats", ServiceConfig{});
  return configuration;
}

inline std::string SmallDocument(std::uint64_t revision,
                                 const std::string& nonce = "n") {
  return SerializeConfiguration(SmallConfiguration(revision, nonce));
}

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_CONFIGURATION_FIXTURE_H_
