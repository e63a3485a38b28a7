#include "chiveshelf/settings/OptionSet.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cstdlib>

#include <getopt.h>

namespace chiveshelf {

namespace {

    constexpr std::size_t maxNameLength = 64;

    std::optional<std::int64_t> parseNumber(const std::string& text)
    {
        std::int64_t value = 0;
        const auto* last = text.data() + text.size();
        const auto [end, status] = std::from_chars(text.data(), last, value);
        if (status != std::errc() || end != last)
            return std::nullopt;
        return value;
    }

    std::optional<double> parseDecimal(const std::string& text)
    {
        double value = 0;
        const auto* last = text.data() + text.size();
        const auto [end, status] = std::from_chars(text.data(), last, value);
        if (status != std::errc() || end != last)
            return std::nullopt;
        return value;
    }

    std::string_view originName(OptionOrigin origin)
    {
        switch (origin) {
        case OptionOrigin::Default:
            return "default";
        case OptionOrigin::Environment:
            return "environment";
        case OptionOrigin::Flag:
            return "flag";
        }
        return "default";
    }

}

OptionSet::OptionSet(std::string environmentPrefix, std::vector<OptionSpec> specs)
    : m_prefix(std::move(environmentPrefix))
    , m_specs(std::move(specs))
{
    for (const auto& spec : m_specs)
        m_values[spec.name] = { spec.defaultValue, OptionOrigin::Default };
}

std::string OptionSet::variableName(const std::string& name) const
{
    std::string out = m_prefix + "_";
    for (const char c : name)
        out += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return out;
}

void OptionSet::readFlags(int argc, char** argv, std::vector<std::string>& problems)
{
    std::vector<option> options;
    for (const auto& spec : m_specs)
        options.push_back({ spec.name.c_str(), spec.isSwitch ? no_argument : required_argument, nullptr, 0 });
    options.push_back({ nullptr, 0, nullptr, 0 });
    optind = 0;
    opterr = 0;
    while (true) {
        int index = 0;
        const auto current = std::max(optind, 1);
        const int status = getopt_long(argc, argv, ":", options.data(), &index);
        if (status == -1)
            break;
        if (status == ':') {
            problems.push_back(std::string(argv[current]) + ": requires a value");
            continue;
        }
        if (status != 0) {
            problems.push_back(std::string(argv[current]) + ": unknown or ambiguous flag");
            continue;
        }
        const auto& spec = m_specs[static_cast<std::size_t>(index)];
        m_values[spec.name] = { spec.isSwitch ? "true" : optarg, OptionOrigin::Flag };
    }
    for (int i = optind; i < argc; ++i)
        m_arguments.emplace_back(argv[i]);
}

std::vector<std::string> OptionSet::parse(int argc, char** argv)
{
    std::vector<std::string> problems;
    for (const auto& spec : m_specs) {
        if (const char* value = std::getenv(variableName(spec.name).c_str()))
            m_values[spec.name] = { value, OptionOrigin::Environment };
    }
    readFlags(argc, argv, problems);
    for (const auto& spec : m_specs) {
        const auto& value = m_values[spec.name];
        const auto label = "--" + spec.name + " (" + variableName(spec.name) + ")";
        if (value.text.empty()) {
            if (spec.isRequired)
                problems.push_back(label + ": is required");
            continue;
        }
        const auto problem = spec.check ? spec.check(value.text) : std::string();
        if (!problem.empty())
            problems.push_back(label + ": '" + value.text + "' " + problem);
    }
    return problems;
}

const std::string& OptionSet::text(const std::string& name) const
{
    const auto it = m_values.find(name);
    assert(it != m_values.end() && "unknown setting");
    return it->second.text;
}

std::int64_t OptionSet::number(const std::string& name) const
{
    return parseNumber(text(name)).value_or(0);
}

double OptionSet::decimal(const std::string& name) const
{
    return parseDecimal(text(name)).value_or(0);
}

bool OptionSet::isSet(const std::string& name) const
{
    return !text(name).empty() && text(name) != "false";
}

Address OptionSet::address(const std::string& name) const
{
    return parseAddress(text(name)).value_or(Address {});
}

OptionOrigin OptionSet::origin(const std::string& name) const
{
    return m_values.at(name).origin;
}

std::string OptionSet::describe() const
{
    std::string out;
    for (const auto& spec : m_specs) {
        const auto& value = m_values.at(spec.name);
        out += spec.name + "=" + value.text + " origin=" + std::string(originName(value.origin)) + "\n";
    }
    return out;
}

std::string OptionSet::help() const
{
    std::string out;
    for (const auto& spec : m_specs) {
        out += "  --" + spec.name + (spec.isSwitch ? "" : " VALUE") + "\n      " + spec.help;
        if (spec.isRequired)
            out += " Required.";
        if (!spec.defaultValue.empty())
            out += " Default: " + spec.defaultValue + ".";
        out += " Variable: " + variableName(spec.name) + ".\n";
    }
    return out;
}

std::function<std::string(const std::string&)> checkNumber(std::int64_t minimum, std::int64_t maximum, std::string unit)
{
    return [=](const std::string& text) -> std::string {
        const auto value = parseNumber(text);
        if (value && *value >= minimum && *value <= maximum)
            return {};
        return "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum)
            + (unit.empty() ? "" : " (" + unit + ")");
    };
}

std::function<std::string(const std::string&)> checkDecimal(double minimum, double maximum, std::string unit)
{
    return [=](const std::string& text) -> std::string {
        const auto value = parseDecimal(text);
        if (value && *value >= minimum && *value <= maximum)
            return {};
        return "must be a number from " + std::to_string(minimum) + " to " + std::to_string(maximum) + (unit.empty() ? "" : " (" + unit + ")");
    };
}

std::function<std::string(const std::string&)> checkAddress()
{
    return [](const std::string& text) -> std::string {
        const auto address = parseAddress(text);
        if (!address)
            return "must be IP:PORT: " + address.error().message;
        return address->port == 0 ? "must have a port other than 0" : "";
    };
}

std::function<std::string(const std::string&)> checkOneOf(std::vector<std::string> choices)
{
    return [choices = std::move(choices)](const std::string& text) -> std::string {
        if (std::find(choices.begin(), choices.end(), text) != choices.end())
            return {};
        std::string out = "must be one of";
        for (const auto& choice : choices)
            out += " " + choice;
        return out;
    };
}

std::function<std::string(const std::string&)> checkName()
{
    return [](const std::string& text) -> std::string {
        const bool isValid = std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
        return isValid && text.size() <= maxNameLength ? "" : "must consist of 1 to 64 letters, digits, '-', '_' or '.'";
    };
}

void checkDifferentAddresses(const OptionSet& options, const std::vector<std::string>& names, std::vector<std::string>& problems)
{
    std::map<Address, std::string> used;
    for (const auto& name : names) {
        const auto address = options.address(name);
        if (address.port == 0)
            continue;
        const auto [it, isNew] = used.emplace(address, name);
        if (!isNew)
            problems.push_back("--" + name + ": same address as --" + it->second);
    }
}

}
