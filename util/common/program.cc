#include "util/common/program.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

#include <boost/asio/signal_set.hpp>

#include "auburnyard/error.h"

namespace auburnyard::util {

void RunUntilSignal(boost::asio::io_context& context, std::size_t threads) {
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait(
      [&context](boost::system::error_code, int) { context.stop(); });
  std::vector<std::jthread> pool;
  for (std::size_t i = 1; i < threads; ++i) {
    pool.emplace_back([&context] { context.run(); });
  }
  context.run();
}

int RunProgram(const char* program, const std::function<int()>& body) {
  try {
    return body();
  } catch (const Error& error) {
    std::fprintf(stderr, "%s: %s\n", program, error.what());
    return DescribeError(error.kind()).exit_code;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s: %s\n", program, error.what());
    return DescribeError(ErrorKind::kInternal).exit_code;
  }
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    throw Error(ErrorKind::kBadSettings, path + ": cannot be read");
  }
  return text.str();
}

}  // namespace auburnyard::util
