#ifndef AUBURNYARD_SRC_RELAY_RELAY_CONTEXT_H_
#define AUBURNYARD_SRC_RELAY_RELAY_CONTEXT_H_

#include <boost/asio/io_context.hpp>

#include "auburnyard/clock.h"
#include "auburnyard/memory_budget.h"
#include "src/relay/relay_codec.h"

namespace auburnyard {

/// Objects shared by all parts of the request path. Must outlive them.
struct RelayContext {
  boost::asio::io_context& io;
  const Clock& clock;
  const RelayCodec& codec;
  /// Of all exchanges of the process; null: not bounded.
  MemoryBudget* memory = nullptr;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_RELAY_CONTEXT_H_
