#include "mesh/internal/status_codec.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace heatherdrift {

namespace {

    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    constexpr unsigned bitsPerDigit = 6;
    constexpr int nameDigits = 5;
    constexpr int ageDigits = 2;
    constexpr int serviceDigits = 2;
    constexpr std::size_t warmSize = nameDigits + ageDigits + urgencyLevels + serviceDigits + 1;
    constexpr std::size_t coldSize = warmSize + 3;
    constexpr char separator = ',';

    /// Figures on a logarithmic scale: the number n stands for unit * base^n.
    struct log_scale {
        double unit;
        double base;

        std::uint32_t encode(double value, int count) const
        {
            const auto most = static_cast<double>((1u << (bitsPerDigit * static_cast<unsigned>(count))) - 1);
            const double number = value > unit ? std::round(std::log(value / unit) / std::log(base)) : 0;
            return static_cast<std::uint32_t>(std::min(number, most));
        }
        double decode(std::uint32_t number) const { return unit * std::pow(base, number); }
    };

    constexpr log_scale waits { 0.001, 1.2 }; ///< Up to 80 s; the number 0 is kept for no wait.
    constexpr log_scale serviceTimes { 0.00001, 1.004 }; ///< Up to two minutes.
    constexpr log_scale slowdowns { 0.04734, 1.1 }; ///< The number 32 stands for 1; up to 19.
    constexpr log_scale rates { 0.1, 1.2 }; ///< Up to 9,700 requests per second.

    double seconds(duration value) { return std::chrono::duration<double>(value).count(); }

    duration fromSeconds(double value)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
    }

    class writer {
    public:
        void number(std::uint32_t value, int count)
        {
            for (int digit = count - 1; digit >= 0; --digit)
                m_text += digits[(value >> (bitsPerDigit * static_cast<unsigned>(digit))) % digits.size()];
        }
        void wait(duration value)
        {
            const bool isNone = seconds(value) < waits.unit / 2;
            number(isNone ? 0 : std::min<std::uint32_t>(waits.encode(seconds(value), 1) + 1, digits.size() - 1), 1);
        }
        std::string take() { return std::move(m_text); }

    private:
        std::string m_text;
    };

    class reader {
    public:
        explicit reader(std::string_view text)
            : m_text(text)
        {
        }

        std::uint32_t number(int count)
        {
            std::uint32_t value = 0;
            for (int digit = 0; digit < count; ++digit) {
                const auto found = digits.find(m_text.front());
                m_isValid = m_isValid && found != std::string_view::npos;
                value = (value << bitsPerDigit) | static_cast<std::uint32_t>(found % digits.size());
                m_text.remove_prefix(1);
            }
            return value;
        }
        duration wait()
        {
            const auto value = number(1);
            return value == 0 ? duration() : fromSeconds(waits.decode(value - 1));
        }
        bool isValid() const { return m_isValid; }

    private:
        std::string_view m_text;
        bool m_isValid = true;
    };

    std::string encode(const passed_status& one)
    {
        writer out;
        out.number(one.server, nameDigits);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(one.age).count();
        out.number(static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, 4095)), ageDigits);
        for (const auto wait : one.status.expectedWaits)
            out.wait(wait);
        // The number 0 is kept for an unknown service time.
        const bool isKnown = one.status.serviceTime > duration::zero();
        out.number(isKnown ? std::max(1u, serviceTimes.encode(seconds(one.status.serviceTime), serviceDigits)) : 0,
            serviceDigits);
        out.number(slowdowns.encode(one.status.slowdown, 1), 1);
        if (const auto& cold = one.status.cold) {
            out.wait(cold->remaining);
            out.wait(cold->nextStartIn);
            out.number(rates.encode(cold->requestsPerSecond, 1), 1);
        }
        return out.take();
    }

    std::optional<passed_status> decode(std::string_view text)
    {
        if (text.size() != warmSize && text.size() != coldSize)
            return std::nullopt;
        reader in(text);
        passed_status out;
        out.server = in.number(nameDigits);
        out.age = std::chrono::milliseconds(in.number(ageDigits));
        for (auto& wait : out.status.expectedWaits)
            wait = in.wait();
        if (const auto service = in.number(serviceDigits); service > 0)
            out.status.serviceTime = fromSeconds(serviceTimes.decode(service));
        out.status.slowdown = slowdowns.decode(in.number(1));
        if (text.size() == coldSize) {
            const auto remaining = in.wait();
            const auto nextStartIn = in.wait();
            out.status.cold = cold_status { remaining, nextStartIn, rates.decode(in.number(1)) };
        }
        return in.isValid() ? std::optional(out) : std::nullopt;
    }

} // namespace

std::uint32_t statusName(const life_name& life)
{
    return static_cast<std::uint32_t>(hashBytes(life)) & ((1u << (bitsPerDigit * nameDigits)) - 1);
}

std::string encodeStatuses(const std::vector<passed_status>& statuses)
{
    std::string out;
    for (const auto& one : statuses) {
        const auto text = encode(one);
        if (out.size() + !out.empty() + text.size() > maxPassedBytes)
            break;
        if (!out.empty())
            out += separator;
        out += text;
    }
    return out;
}

std::vector<passed_status> decodeStatuses(std::string_view text)
{
    std::vector<passed_status> out;
    if (text.empty() || text.size() > maxPassedBytes)
        return out;
    for (bool isLast = false; !isLast;) {
        const auto end = text.find(separator);
        isLast = end == std::string_view::npos;
        const auto one = decode(text.substr(0, end));
        if (!one)
            return {};
        out.push_back(*one);
        text.remove_prefix(isLast ? text.size() : end + 1);
    }
    return out;
}

} // namespace heatherdrift
