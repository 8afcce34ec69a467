# Declares the library bamboomount_<name> from every source file below the current folder.
# Arguments after the name are the libraries it links to.
function(bamboomount_library name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(NOT sources)
    add_library(bamboomount_${name} INTERFACE)
    target_include_directories(bamboomount_${name} INTERFACE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(bamboomount_${name} INTERFACE ${ARGN})
    return()
  endif()
  add_library(bamboomount_${name} STATIC ${sources})
  target_include_directories(bamboomount_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(bamboomount_${name} PUBLIC ${ARGN})
endfunction()

# Declares the program <name> from every source file below the current folder.
function(bamboomount_program name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(${name} PRIVATE ${ARGN})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# Declares one Boost.Test program from every source file below the current folder. The timeout bounds a hang; no test
# asserts on time.
function(bamboomount_test name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_executable(${name}_test ${sources})
  target_compile_definitions(${name}_test PRIVATE BOOST_TEST_DYN_LINK)
  target_include_directories(${name}_test PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${name}_test PRIVATE ${ARGN} Boost::unit_test_framework rapidcheck Threads::Threads)
  add_test(NAME ${name} COMMAND ${name}_test)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
