# Adds the static library lagoonroute-<name> from modules/<name>/*.cpp and, where modules/<name>/tests exists,
# the test program <name>-tests, registered with CTest.
#
#   lagoon_module(<name> DEPENDS <other modules or libraries>...)
function(lagoon_module name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    set(directory ${PROJECT_SOURCE_DIR}/modules/${name})
    file(GLOB sources CONFIGURE_DEPENDS ${directory}/*.cpp)
    add_library(lagoonroute-${name} STATIC ${sources})
    target_include_directories(lagoonroute-${name} PUBLIC ${PROJECT_SOURCE_DIR}/include PRIVATE ${directory})
    target_link_libraries(lagoonroute-${name} PUBLIC lagoonroute-options ${ARG_DEPENDS})
    set_target_properties(lagoonroute-${name} PROPERTIES LINKER_LANGUAGE CXX)

    file(GLOB testSources CONFIGURE_DEPENDS ${directory}/tests/*.cpp)
    if(testSources AND LAGOON_TESTS)
        add_executable(${name}-tests ${testSources} ${PROJECT_SOURCE_DIR}/cmake/testmain.cpp)
        target_include_directories(${name}-tests PRIVATE ${directory})
        target_link_libraries(${name}-tests PRIVATE lagoonroute-${name} Boost::unit_test_framework rapidcheck)
        target_compile_definitions(${name}-tests PRIVATE BOOST_TEST_DYN_LINK)
        add_test(NAME ${name} COMMAND ${name}-tests)
        set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204")
    endif()
endfunction()
