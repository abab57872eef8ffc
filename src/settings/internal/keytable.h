#pragma once

#include "domain/digest.h"
#include "domain/quantity.h"
#include "domain/socketaddress.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "settings/internal/settingsfile.h"
#include "settings/keydescription.h"
#include "settings/settingsproblem.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace oriolerill::settings::internal {

struct KeyName
{
    std::string section;
    std::string name;
    bool isRequired = false;
};

struct NumberRange
{
    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;
};

template<class Value>
struct Choice
{
    std::string name;
    Value value;
};

/// The keys of a settings file, each bound to the member that it sets.
///
/// The value of the member when the key is declared is the default.
class KeyTable
{
public:
    /// Stores the value and returns true, or returns false when the value is out of range.
    using Assign = std::function<bool(const std::string &value)>;

    template<class Tag>
    void identifier(
            const KeyName &key, domain::StrongId<Tag> &target, const std::string &description)
    {
        addIdentifier(key, description,
                [&target](const std::string &value) { target = domain::StrongId<Tag>(value); });
    }
    template<class Value>
    void choice(const KeyName &key, Value &target, std::vector<Choice<Value>> choices,
            const std::string &description)
    {
        KeyDescription text = describe(key, "choice", description);
        for (const Choice<Value> &option : choices) {
            text.range += (text.range.empty() ? "" : ", ") + option.name;
            if (option.value == target && !text.isRequired)
                text.defaultValue = option.name;
        }
        add(std::move(text), [&target, choices = std::move(choices)](const std::string &value) {
            for (const Choice<Value> &option : choices) {
                if (option.name == value) {
                    target = option.value;
                    return true;
                }
            }
            return false;
        });
    }
    void integer(KeyName key, std::uint32_t &target, NumberRange range, std::string unit,
            std::string description);
    void bytes(KeyName key, domain::Bytes &target, NumberRange range, std::string description);
    /// An integer number of milliseconds.
    void duration(
            KeyName key, domain::Duration &target, NumberRange range, std::string description);
    /// A number above 0 and below 1.
    void ratio(KeyName key, double &target, std::string description);
    /// A number from 0 to 1000000000.
    void number(KeyName key, double &target, std::string unit, std::string description);
    /// Pairs of name and value, for example "salto-a=litoral,central-a=central".
    void pairs(KeyName key, std::map<std::string, std::string> &target, std::string description);
    void address(KeyName key, domain::SocketAddress &target, std::string description);
    void addresses(
            KeyName key, std::vector<domain::SocketAddress> &target, std::string description);
    void host(KeyName key, std::string &target, std::string description);
    void digest(KeyName key, domain::Digest &target, std::string description);
    void text(KeyName key, std::string &target, std::string description);

    const std::vector<KeyDescription> &descriptions() const { return m_descriptions; }
    /// Sets the members from the file; returns all problems, in the order of their lines,
    /// then the missing keys.
    std::vector<SettingsProblem> assign(const SettingsFile &file) const;

private:
    static KeyDescription describe(KeyName key, std::string type, std::string description);
    void add(KeyDescription description, Assign assign);
    void addIdentifier(KeyName key, std::string description,
            std::function<void(const std::string &value)> setTarget);
    void addNumber(KeyDescription description, NumberRange range, std::uint64_t defaultValue,
            std::function<void(std::uint64_t)> setTarget);
    bool hasSection(const std::string &section) const;
    std::string keysOf(const std::string &section) const;
    std::string sections() const;
    std::vector<SettingsProblem> assignLine(
            const std::string &file, const SettingsLine &line, std::vector<bool> &seen) const;

    std::vector<KeyDescription> m_descriptions;
    std::vector<Assign> m_assigns;
};

} // namespace oriolerill::settings::internal
