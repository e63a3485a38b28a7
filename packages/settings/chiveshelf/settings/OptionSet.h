#pragma once

#include "chiveshelf/core/Address.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chiveshelf {

// Source of the value of a setting.
enum class OptionOrigin {
    Default,
    Environment,
    Flag,
};

// Describes one setting. `check` returns a description of the problem with a value, or an empty string if it is valid.
struct OptionSpec {
    std::string name;
    std::string defaultValue;
    std::string help;
    bool isRequired = false;
    bool isSwitch = false;
    std::function<std::string(const std::string&)> check;
};

// Reads settings from flags and environment variables. Call parse() before reading values. The variable of the flag --some-name
// is PREFIX_SOME_NAME.
class OptionSet {
public:
    OptionSet(std::string environmentPrefix, std::vector<OptionSpec> specs);

    // Reads and checks the flags in argv and the environment variables. Returns all problems found, or an empty list.
    std::vector<std::string> parse(int argc, char** argv);

    // Return the value of a setting. A value that cannot be parsed gives 0 or an empty address.
    const std::string& text(const std::string& name) const;
    std::int64_t number(const std::string& name) const;
    double decimal(const std::string& name) const;
    // Returns true unless the value is empty or "false".
    bool isSet(const std::string& name) const;
    Address address(const std::string& name) const;
    OptionOrigin origin(const std::string& name) const;

    // Returns the arguments that are not flags, in order.
    const std::vector<std::string>& arguments() const { return m_arguments; }

    // Returns one "name=value origin=..." line per setting.
    std::string describe() const;

    // Returns the help lines of all settings.
    std::string help() const;

private:
    struct Value {
        std::string text;
        OptionOrigin origin = OptionOrigin::Default;
    };

    std::string variableName(const std::string& name) const;
    void readFlags(int argc, char** argv, std::vector<std::string>& problems);

    std::string m_prefix;
    std::vector<OptionSpec> m_specs;
    std::map<std::string, Value> m_values;
    std::vector<std::string> m_arguments;
};

// Reports settings that have the same address as another one of `names`. Empty addresses are ignored.
void checkDifferentAddresses(const OptionSet&, const std::vector<std::string>& names, std::vector<std::string>& problems);

// Return checks for OptionSpec::check. Bounds are inclusive; `unit` is part of the error message.
std::function<std::string(const std::string&)> checkNumber(std::int64_t minimum, std::int64_t maximum, std::string unit);
std::function<std::string(const std::string&)> checkDecimal(double minimum, double maximum, std::string unit);
std::function<std::string(const std::string&)> checkAddress();
std::function<std::string(const std::string&)> checkOneOf(std::vector<std::string> choices);
std::function<std::string(const std::string&)> checkName();

}
