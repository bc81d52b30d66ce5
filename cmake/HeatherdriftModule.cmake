# heatherdrift_module(NAME [DEPENDS targets...])
# Adds the static library heatherdrift_NAME from the sources in internal/.
function(heatherdrift_module name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/internal/*.cpp)
  add_library(heatherdrift_${name} STATIC ${sources})
  target_include_directories(heatherdrift_${name} PUBLIC
    $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/src>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/heatherdrift>)
  target_link_libraries(heatherdrift_${name} PUBLIC ${ARG_DEPENDS} PRIVATE $<BUILD_INTERFACE:heatherdrift_options>)
  install(TARGETS heatherdrift_${name} EXPORT heatherdriftTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR} DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/heatherdrift
    FILES_MATCHING PATTERN "*.h" PATTERN "tests" EXCLUDE PATTERN "benchmarks" EXCLUDE)
endfunction()

# heatherdrift_test(NAME [DEPENDS targets...])
# Adds the GoogleTest program heatherdrift_NAME_test from the sources in tests/.
function(heatherdrift_test name)
  if(NOT HEATHERDRIFT_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  add_executable(heatherdrift_${name}_test ${sources})
  target_link_libraries(heatherdrift_${name}_test PRIVATE heatherdrift_${name} ${ARG_DEPENDS}
    GTest::gmock GTest::gtest_main rapidcheck rapidcheck_gtest heatherdrift_options)
  target_compile_definitions(heatherdrift_${name}_test PRIVATE HEATHERDRIFT_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  # A fixed seed makes every run of the properties the same; RapidCheck prints it with a failure.
  gtest_discover_tests(heatherdrift_${name}_test TEST_PREFIX "${name}." DISCOVERY_TIMEOUT 60
    PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 900)
endfunction()

# heatherdrift_test_program(NAME program DEFINITION)
# The tests of the module start the program; its path is in the definition.
function(heatherdrift_test_program name program definition)
  if(NOT HEATHERDRIFT_TESTS)
    return()
  endif()
  target_compile_definitions(heatherdrift_${name}_test PRIVATE ${definition}="$<TARGET_FILE:${program}>")
  add_dependencies(heatherdrift_${name}_test ${program})
endfunction()
