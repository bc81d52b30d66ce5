#include "store/internal/row_json.h"

namespace heatherdrift {

failure unreadable(const std::string& path, std::string_view reason)
{
    return notRun(error_code::internal, path + ": " + std::string(reason));
}

void readName(json_reader& reader, const char* name, std::string& target)
{
    reader.readString(name, target);
    if (target.empty() || target.size() > maximumNameBytes)
        reader.reject(name, "expected 1 to 255 bytes");
}

result<instance_ref> parseInstance(const json& value, const std::string& path)
{
    if (!value.is_array() || value.size() != 2 || !value[0].is_string() || !value[1].is_number_unsigned())
        return unreadable(path, "expected an instance id and an incarnation");
    instance_ref instance { value[0].get<std::string>(), value[1].get<incarnation>() };
    if (instance.id.empty() || instance.id.size() > maximumNameBytes || instance.number == 0)
        return unreadable(path, "expected an instance id and an incarnation");
    return instance;
}

} // namespace heatherdrift
