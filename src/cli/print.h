#ifndef AUBURNYARD_SRC_CLI_PRINT_H_
#define AUBURNYARD_SRC_CLI_PRINT_H_

#include <iosfwd>
#include <string>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

namespace auburnyard::cli {

void PrintJson(const boost::json::value& value, std::ostream& out);
void PrintPlan(const boost::json::object& plan, std::ostream& out);
void PrintIntent(const boost::json::object& intent, std::ostream& out);
/// Formats a string without quotation marks and any other value as JSON.
std::string FormatValue(const boost::json::value& value);
/// Joins the names in an array with commas; "none" if it is empty.
std::string JoinNames(const boost::json::value& names);

}  // namespace auburnyard::cli

#endif  // AUBURNYARD_SRC_CLI_PRINT_H_
