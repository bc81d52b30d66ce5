#include "settings/internal/address_check.h"

#include <arpa/inet.h>
#include <array>
#include <map>

namespace heatherdrift {

namespace {

    struct named_address {
        std::string path;
        endpoint address;
    };

    std::vector<named_address> addressesOf(const node_settings& settings)
    {
        std::vector<named_address> addresses {
            { "listeners.entry", settings.listeners.entry },
            { "listeners.forward", settings.listeners.forward },
            { "listeners.control", settings.listeners.control },
            { "listeners.admin", settings.listeners.admin },
        };
        for (std::size_t i = 0; i < settings.tableService.size(); ++i)
            addresses.push_back({ "table_service[" + std::to_string(i) + "]", settings.tableService[i] });
        if (settings.objectStore)
            addresses.push_back({ "object_store", *settings.objectStore });
        return addresses;
    }

    // The same IPv6 address can be written in several ways.
    endpoint canonical(const endpoint& address)
    {
        const int family = address.ip.find(':') == std::string::npos ? AF_INET : AF_INET6;
        in6_addr bytes {};
        std::array<char, INET6_ADDRSTRLEN> text {};
        if (inet_pton(family, address.ip.c_str(), &bytes) != 1 || !inet_ntop(family, &bytes, text.data(), text.size()))
            return address;
        return { text.data(), address.port };
    }

    failure rejection(const std::string& path, const std::string& reason)
    {
        return notRun(error_code::invalid_settings, path + ": " + reason);
    }

} // namespace

result<void> checkAddresses(const node_settings& settings)
{
    std::map<endpoint, std::string> seen;
    for (const auto& [path, address] : addressesOf(settings)) {
        const auto form = canonical(address);
        // The addresses are published to other nodes, which could not connect to an unspecified one.
        if (form.ip == "0.0.0.0" || form.ip == "::")
            return rejection(path, form.ip + " is not the address of one machine");
        const auto [earlier, isNew] = seen.emplace(form, path);
        if (!isNew)
            return rejection(path, toString(form) + " is already the address of " + earlier->second);
    }
    return outcome::success();
}

} // namespace heatherdrift
