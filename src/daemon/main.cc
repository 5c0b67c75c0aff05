#include <cstdlib>
#include <iostream>
#include <memory>

#include <popt.h>
#include "auburnyard/error.h"
#include "platform/relay_codec.h"
#include "platform/store_codec.h"
#include "src/daemon/entry_host.h"
#include "src/daemon/settings.h"
#include "src/net/log.h"
#include "src/relay/relay_host.h"

namespace {

constexpr const char* kVersion = "auburnyardd 0.1.0";
constexpr int kExitUsage = 2;

struct Options {
  std::string settings_path;
  std::string relay_path;
  bool version = false;
};

Options ParseOptions(int argc, const char** argv) {
  Options options;
  int version = 0;
  char* settings = nullptr;
  char* relay = nullptr;
  const poptOption table[] = {{"settings", 's', POPT_ARG_STRING, &settings, 0,
                               "settings file, JSON with comments", "FILE"},
                              {"relay", 'r', POPT_ARG_STRING, &relay, 0,
                               "settings file of a host that relays requests "
                               "on the platform",
                               "FILE"},
                              {"version", 'V', POPT_ARG_NONE, &version, 0,
                               "print the version and exit", nullptr},
                              POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> parser(
      poptGetContext("auburnyardd", argc, argv, table, 0), poptFreeContext);
  const int code = poptGetNextOpt(parser.get());
  options.version = version != 0;
  if (settings != nullptr) {
    options.settings_path = settings;
    std::free(settings);
  }
  if (relay != nullptr) {
    options.relay_path = relay;
    std::free(relay);
  }
  if (code < -1) {
    throw auburnyard::Error(auburnyard::ErrorKind::kBadSettings,
                            std::string(poptBadOption(parser.get(), 0)) + ": " +
                                poptStrerror(code));
  }
  if (options.settings_path.empty() == options.relay_path.empty() &&
      !options.version) {
    throw auburnyard::Error(auburnyard::ErrorKind::kBadSettings,
                            "either --settings FILE or --relay FILE is "
                            "required");
  }
  return options;
}

void RunRelay(const std::string& path) {
  const auburnyard::RelaySettings settings =
      auburnyard::LoadRelaySettings(path);
  auburnyard::SetUpLogging(settings.log_level);
  {
    auburnyard::RelayHost host(
        settings, path,
        {.codec = auburnyard::platform::MakeRelayCodec(),
         .store = auburnyard::platform::MakeStoreCodec(),
         .schema = auburnyard::platform::MakeStoreSchema()});
    host.Run();
  }
  auburnyard::ShutDownLogging();
}

void RunHost(const std::string& path) {
  const auburnyard::Settings settings = auburnyard::LoadSettings(path);
  auburnyard::SetUpLogging(settings.log_level);
  {
    auburnyard::EntryHost host(settings);
    host.Run();
  }
  auburnyard::ShutDownLogging();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const Options options = ParseOptions(argc, const_cast<const char**>(argv));
    if (options.version) {
      std::cout << kVersion << '\n';
      return EXIT_SUCCESS;
    }
    if (options.relay_path.empty()) {
      RunHost(options.settings_path);
    } else {
      RunRelay(options.relay_path);
    }
    return EXIT_SUCCESS;
  } catch (const auburnyard::Error& error) {
    std::cerr << "auburnyardd: " << error.what() << '\n';
    return auburnyard::DescribeError(error.kind()).exit_code;
  } catch (const std::exception& error) {
    std::cerr << "auburnyardd: " << error.what() << '\n';
    return kExitUsage;
  }
}
