#pragma once

#include <istream>
#include <string>

namespace lagoonroute
{

/** Reads the stream to its end. */
std::string readAll(std::istream &stream);

/** Returns the content of a file. Throws InvalidDocument when it cannot be read. */
std::string readFile(const std::string &path);

} // namespace lagoonroute
